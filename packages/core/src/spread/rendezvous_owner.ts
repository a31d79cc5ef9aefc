/** FNV-1a, 32 bits: spreads short keys evenly, the same on every host. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  value ^= value >>> 16;
  value = Math.imul(value, 0x45d9f3b) >>> 0;
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Picks one of `names` for `key` by rendezvous hashing: all who know the
 * same names pick the same, and a name that goes moves only its own keys.
 */
export function rendezvousOwner(key: string, names: string[]): string {
  let owner = "";
  let best = -1;
  for (const name of names) {
    const score = hash(`${name}\n${key}`);
    if (score > best || (score === best && name < owner)) {
      [owner, best] = [name, score];
    }
  }
  return owner;
}
