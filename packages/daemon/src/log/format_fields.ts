/**
 * Formats fields as key=value pairs. A value that is empty or contains spaces,
 * quotes or "=" is quoted. Undefined fields are omitted.
 */
export function formatFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => {
      const text = String(value);
      const isPlain = /^[^\s"=]+$/.test(text);
      return `${key}=${isPlain ? text : JSON.stringify(text)}`;
    })
    .join(" ");
}
