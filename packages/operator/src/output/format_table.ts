const MAX_LINE_WIDTH = 80;
const COLUMN_SEPARATOR = "  ";

type Cell = string | number | boolean | undefined;

/** Pads `text` to `width`, or cuts it and ends it with an ellipsis. */
function fitToWidth(text: string, width: number): string {
  return text.length <= width
    ? text.padEnd(width)
    : `${text.slice(0, width - 1)}…`;
}

/** Formats rows as aligned columns; cuts lines at 80 characters. */
export function formatTable(headings: string[], rows: Cell[][]): string {
  const lines = [
    headings,
    ...rows.map((row) => row.map((cell) => String(cell ?? ""))),
  ];
  const widths = headings.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0))
  );
  return lines
    .map((line) =>
      line.map((cell, column) => fitToWidth(cell, widths[column]!)).join(
        COLUMN_SEPARATOR,
      ).trimEnd()
    )
    .map((line) =>
      line.length <= MAX_LINE_WIDTH ? line : fitToWidth(line, MAX_LINE_WIDTH)
    )
    .join("\n");
}
