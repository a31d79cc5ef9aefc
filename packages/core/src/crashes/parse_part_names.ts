const PREFIX = "part:";
const SEPARATOR = "+";

/** The parts that `nameParts` has named; undefined for a fingerprint. */
export function parsePartNames(name: string): string[] | undefined {
  if (!name.startsWith(PREFIX)) return undefined;
  return name.split(SEPARATOR).map((part) => part.slice(PREFIX.length));
}
