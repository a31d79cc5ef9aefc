import { create } from "@bufbuild/protobuf";
import type {
  LogEntry,
  LogRecord,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";
import { HardStateSchema } from "@teaselrouter/messages/control.ts";
import type { RestoredLog } from "./restored_log.ts";

/** Builds the log from its records, oldest first, behind a snapshot. */
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
        // Written twice where a snapshot was taken while it was on its way.
        while ((entries.at(-1)?.index ?? 0) >= record.value.index) {
          entries.pop();
        }
        if (record.value.index > snapshot.lastIndex) entries.push(record.value);
        break;
    }
  }
  return { hardState, snapshot, entries };
}
