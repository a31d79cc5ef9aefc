import type { BackendChoice } from "./backend_choice.ts";

/**
 * Tells the records of a service's backend servers how full these are on
 * average, each weighed by how much its last report still says.
 *
 * Pattern: an engine that got nothing from this host for a second, since all
 * others looked emptier, says nothing either. Taken for empty it gets the next
 * requests of every host, behind all that the others have sent there.
 */
export function noteUsualLoad(choices: BackendChoice[], now: number): void {
  let trusted = 0;
  let filled = 0;
  for (const { standing, record } of choices) {
    const trust = record.reportTrust(now);
    trusted += trust * standing.slots;
    filled += trust * record.reportedRequests;
  }
  const fullness = trusted === 0 ? 0 : filled / trusted;
  for (const { standing, record } of choices) {
    record.usualRequests = fullness * standing.slots;
  }
}
