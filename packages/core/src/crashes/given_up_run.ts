import type { BackendAnnouncement } from "../membership/backend_announcement.ts";

/**
 * A request that a host has given up: its caller left, its time was over, or
 * another backend server took over. Times are monotonic milliseconds.
 */
export type GivenUpRun<Run> = {
  announcement: BackendAnnouncement;
  run: Run;
  /** When its answer began or, where that isn't known, when it was sent. */
  begunAt: number;
  sentAt: number;
  givenUpAt: number;
};
