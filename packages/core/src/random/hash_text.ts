/**
 * 32-bit FNV-1a hash of the text's UTF-16 code units, with a final mixing step.
 * Distributes short keys evenly, and gives the same result on every host.
 */
export function hashText(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  value ^= value >>> 16;
  value = Math.imul(value, 0x45d9f3b) >>> 0;
  return (value ^ (value >>> 16)) >>> 0;
}
