import { PART_NAME_FORMAT } from "./part_name_format.ts";

/** Name of one or more prompt parts, which stands where fingerprints do. */
export function nameParts(parts: readonly string[]): string {
  const { prefix, separator } = PART_NAME_FORMAT;
  return [...parts].sort().map((part) => prefix + part).join(separator);
}
