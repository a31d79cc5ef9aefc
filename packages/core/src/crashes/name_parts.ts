/** No fingerprint, which is hexadecimal, contains it. */
const PREFIX = "part:";
const SEPARATOR = "+";

/** Name of one or more prompt parts, which stands where fingerprints do. */
export function nameParts(parts: readonly string[]): string {
  return [...parts].sort().map((part) => PREFIX + part).join(SEPARATOR);
}
