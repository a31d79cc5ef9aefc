import type { HardState, LogEntry } from "@teaselrouter/messages/control.ts";

/** What one sync makes last. */
export type LogBatch = {
  hardState: HardState | undefined;
  truncateFrom: number | undefined;
  entries: LogEntry[];
};
