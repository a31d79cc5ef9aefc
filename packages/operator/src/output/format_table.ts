const LINE_WIDTH = 80;
const GAP = "  ";

type Cell = string | number | boolean | undefined;

function fit(text: string, width: number): string {
  return text.length <= width
    ? text.padEnd(width)
    : `${text.slice(0, width - 1)}…`;
}

/** Lays rows out in columns; a line that would pass 80 columns is cut. */
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
      line.map((cell, column) => fit(cell, widths[column]!)).join(GAP).trimEnd()
    )
    .map((line) => line.length <= LINE_WIDTH ? line : fit(line, LINE_WIDTH))
    .join("\n");
}
