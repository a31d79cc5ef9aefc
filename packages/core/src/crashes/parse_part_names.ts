import { PART_NAME_FORMAT } from "./part_name_format.ts";

/** The parts that `nameParts` has named; undefined for a fingerprint. */
export function parsePartNames(name: string): string[] | undefined {
  const { prefix, separator } = PART_NAME_FORMAT;
  if (!name.startsWith(prefix)) return undefined;
  return name.split(separator).map((part) => part.slice(prefix.length));
}
