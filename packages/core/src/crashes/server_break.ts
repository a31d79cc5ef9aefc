import type { BackendAnnouncement } from "../membership/backend_announcement.ts";

/**
 * Requests that one start of a backend server broke off at about the same
 * moment.
 */
export type ServerBreak<Interrupted> = {
  announcement: BackendAnnouncement;
  interrupted: Interrupted[];
  /** When the first of them was broken off, monotonic milliseconds. */
  at: number;
};
