import type { HardState, LogEntry } from "@teaselrouter/messages/control.ts";

/**
 * Changes to the log that become durable with one sync. `truncateFrom` is the
 * index from which the log's old entries are removed.
 */
export type LogBatch = {
  hardState: HardState | undefined;
  truncateFrom: number | undefined;
  entries: LogEntry[];
};
