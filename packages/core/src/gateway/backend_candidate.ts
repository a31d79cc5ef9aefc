import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { BackendRecord } from "./backend_record.ts";

/**
 * A candidate backend server for a request: its last announcement, and this
 * host's record of its load and health.
 */
export type BackendCandidate = {
  announcement: BackendAnnouncement;
  record: BackendRecord;
  /**
   * Requests a second that it announced to accept from all hosts together;
   * undefined without a limit.
   */
  limitPerSecond?: number | undefined;
};
