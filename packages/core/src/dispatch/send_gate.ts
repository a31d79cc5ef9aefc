import type { BackendAnnouncement } from "../membership/backend_announcement.ts";

/** Bounds the requests that a backend server gets in its first seconds. */
export interface SendGate {
  /** Whether one more may be sent there now. Spends nothing. */
  admits(announcement: BackendAnnouncement, now: number): boolean;
  /** Time until one more may be sent there, milliseconds; 0 if it may now. */
  millisecondsUntilAdmission(
    announcement: BackendAnnouncement,
    now: number,
  ): number;
  /** Counts a request that is sent there. */
  countSend(announcement: BackendAnnouncement, now: number): void;
}
