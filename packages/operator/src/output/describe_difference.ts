type Content = Record<string, unknown>;

/** Lists the fields that a change would set, one line each. */
export function describeDifference(
  before: Content | undefined,
  after: Content,
): string[] {
  const keys = [
    ...new Set([...Object.keys(before ?? {}), ...Object.keys(after)]),
  ];
  return keys
    .filter((key) =>
      JSON.stringify(before?.[key]) !== JSON.stringify(after[key])
    )
    .map((key) => {
      const old = before === undefined ? "" : JSON.stringify(before[key]);
      const arrow = before === undefined ? "" : " -> ";
      return `  ${key}: ${old}${arrow}${JSON.stringify(after[key])}`;
    });
}
