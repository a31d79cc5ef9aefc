type Content = Record<string, unknown>;

/** Lists the fields whose values differ, one line each: old -> new. */
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
      const oldValue = before === undefined ? "" : JSON.stringify(before[key]);
      const arrow = before === undefined ? "" : " -> ";
      return `  ${key}: ${oldValue}${arrow}${JSON.stringify(after[key])}`;
    });
}
