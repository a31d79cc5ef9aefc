/** Writes fields as key=value, quoted where a value has spaces or quotes. */
export function formatFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => {
      const text = String(value);
      const plain = /^[^\s"=]+$/.test(text);
      return `${key}=${plain ? text : JSON.stringify(text)}`;
    })
    .join(" ");
}
