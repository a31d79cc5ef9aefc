type Fields = Record<string, unknown>;

const SECTION = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
const VALUE = /\{\{([\w.]+)\}\}/g;

/**
 * Fills in a settings template as the platform does. `{{name}}` is replaced by a
 * value. The text between `{{#name}}` and `{{/name}}` is repeated for each entry
 * of a list or table, with `{{.}}` for the entry, `{{@}}` for its index or key
 * and `{{,}}` for a comma between entries; it stands once for any other value,
 * and is left out if there is none. With `{{^name}}` it stands only then.
 */
export function renderTemplate(template: string, fields: Fields): string {
  const sections = template.replaceAll(
    SECTION,
    (_all, mark, name, body) =>
      renderSection(mark === "^", findValue(fields, name), body),
  );
  return sections.replaceAll(VALUE, (_all, name) => {
    const value = findValue(fields, name);
    return value === undefined ? "" : String(value);
  });
}

function renderSection(
  isInverse: boolean,
  value: unknown,
  body: string,
): string {
  const isMissing = value === undefined || value === false;
  if (isInverse) return isMissing ? body : "";
  if (isMissing) return "";
  if (typeof value !== "object" || value === null) return body;
  const entries = Object.entries(value);
  return entries.map(([key, entry], index) =>
    body.replaceAll("{{.}}", String(entry))
      .replaceAll("{{@}}", key)
      .replaceAll("{{,}}", index < entries.length - 1 ? "," : "")
  ).join("");
}

function findValue(fields: Fields, path: string): unknown {
  let value: unknown = fields;
  for (const key of path.split(".")) {
    value = (value as Record<string, unknown> | undefined)?.[key];
  }
  return value;
}
