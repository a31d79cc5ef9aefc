type Fields = Record<string, unknown>;

const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const VALUE = /\{\{([\w.]+)\}\}/g;

/** Fills a settings template in as the platform does: values and lists. */
export function renderTemplate(template: string, fields: Fields): string {
  const sections = template.replaceAll(SECTION, (_all, name, body) => {
    const entries = valueAt(fields, name) as unknown[];
    return entries.map((entry, index) =>
      body.replaceAll("{{.}}", String(entry))
        .replaceAll("{{,}}", index < entries.length - 1 ? "," : "")
    ).join("");
  });
  return sections.replaceAll(VALUE, (_all, name) => {
    const value = valueAt(fields, name);
    return value === undefined ? "" : String(value);
  });
}

function valueAt(fields: Fields, path: string): unknown {
  let value: unknown = fields;
  for (const key of path.split(".")) {
    value = (value as Record<string, unknown> | undefined)?.[key];
  }
  return value;
}
