/**
 * Collects the values of all headers with a lower-case name from raw headers:
 * name, value, name, value.
 */
export function collectHeader(raw: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() === name) values.push(raw[index + 1]!);
  }
  return values;
}
