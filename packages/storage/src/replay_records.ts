import { create } from "@bufbuild/protobuf";
import type {
  LogEntry,
  LogRecord,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";
import { HardStateSchema } from "@teaselrouter/messages/control.ts";
import type { RestoredLog } from "./restored_log.ts";

/**
 * Restores the log that follows `snapshot` by replaying its records, oldest
 * first.
 */
export function replayRecords(
  snapshot: SnapshotData,
  records: LogRecord[],
): RestoredLog {
  let hardState = create(HardStateSchema);
  let entries: LogEntry[] = [];
  for (const { record } of records) {
    switch (record.case) {
      case "hardState":
        hardState = record.value;
        break;
      case "truncateFrom": {
        const from = record.value;
        entries = entries.filter((entry) => entry.index < from);
        break;
      }
      case "entry":
        // An entry may be recorded twice: `saveSnapshot` writes the entries
        // that follow the snapshot, and one of these that was still to be
        // appended is then appended again.
        while ((entries.at(-1)?.index ?? 0) >= record.value.index) {
          entries.pop();
        }
        if (record.value.index > snapshot.lastIndex) entries.push(record.value);
        break;
    }
  }
  return { hardState, snapshot, entries };
}
