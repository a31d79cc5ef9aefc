import type { BackendStanding } from "./backend_standing.ts";

/**
 * Whether one standing overtakes another of the same instance. A heartbeat
 * that was held up by a partition can arrive after its sender's end or after
 * its next start; it must not bring back what it says.
 */
export function isLaterStanding(
  candidate: BackendStanding,
  known: BackendStanding,
): boolean {
  if (candidate.bornAt !== known.bornAt) {
    return candidate.bornAt > known.bornAt;
  }
  if (candidate.sequence !== known.sequence) {
    return candidate.sequence > known.sequence;
  }
  // The same word passed on by another host; only an end adds to it.
  return candidate.state === "gone" && known.state !== "gone";
}
