/** Fields of a row that only the system itself needs. */
const INTERNAL = new Set(["history", "highestFloor", "manifest", "index"]);

/** Lists what stands instead of a refused change, one field a line. */
export function describeStanding(stands: unknown): string[] {
  if (stands === undefined || stands === null || stands === "") return [];
  if (typeof stands !== "object") return [`stands now: ${String(stands)}`];
  const lines = Object.entries(stands)
    .filter(([key]) => !INTERNAL.has(key))
    .map(([key, value]) => `  ${key}: ${JSON.stringify(value)}`);
  return ["stands now:", ...lines];
}
