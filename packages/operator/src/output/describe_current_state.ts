/** Fields of a row that are of no use to an operator. */
const INTERNAL_FIELDS = new Set([
  "history",
  "highestFloor",
  "manifest",
  "index",
]);

/**
 * Describes the state that a refused change would have replaced, one field per
 * line. Returns no lines if there is none.
 */
export function describeCurrentState(stands: unknown): string[] {
  if (stands === undefined || stands === null || stands === "") return [];
  if (typeof stands !== "object") return [`stands now: ${String(stands)}`];
  const lines = Object.entries(stands)
    .filter(([key]) => !INTERNAL_FIELDS.has(key))
    .map(([key, value]) => `  ${key}: ${JSON.stringify(value)}`);
  return ["stands now:", ...lines];
}
