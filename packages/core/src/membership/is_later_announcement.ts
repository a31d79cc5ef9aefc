import type { BackendAnnouncement } from "./backend_announcement.ts";

/**
 * Whether an announcement supersedes the known one of the same instance. A
 * heartbeat that was delayed by a partition can arrive after its sender's end or
 * next start, and must not restore the state that it announces.
 */
export function isLaterAnnouncement(
  candidate: BackendAnnouncement,
  known: BackendAnnouncement,
): boolean {
  if (candidate.bornAt !== known.bornAt) {
    return candidate.bornAt > known.bornAt;
  }
  if (candidate.sequence !== known.sequence) {
    return candidate.sequence > known.sequence;
  }
  // The same announcement, forwarded by another host, which can only add that
  // the backend server is gone.
  return candidate.state === "gone" && known.state !== "gone";
}
