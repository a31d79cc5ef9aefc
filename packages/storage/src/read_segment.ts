import type { LogRecord } from "@teaselrouter/messages/control.ts";
import type { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { recordCodec } from "./record_codec.ts";

/** How far after a bad record to look for a valid one. */
const MAX_SCAN_BYTES = 1_048_576;

type Segment = {
  records: LogRecord[];
  /** Length of the valid records; any bytes after them are a torn record. */
  validBytes: number;
};

function hasValidRecordAfter(bytes: Buffer, offset: number): boolean {
  const end = Math.min(bytes.length, offset + MAX_SCAN_BYTES);
  for (let at = offset + 1; at < end; at += 1) {
    if (recordCodec.decode(bytes, at) !== undefined) return true;
  }
  return false;
}

/**
 * Reads a log segment. A process killed during a write leaves a torn last
 * record: nothing in it was confirmed, so it is omitted. A bad record before
 * valid ones means that confirmed entries are damaged. Continuing without them
 * could elect a leader that lacks an accepted change, so this is an error: the
 * byte offset of the bad record.
 */
export function readSegment(bytes: Buffer): Result<Segment, number> {
  const records: LogRecord[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const read = recordCodec.decode(bytes, offset);
    if (read === undefined) {
      return hasValidRecordAfter(bytes, offset)
        ? Result.err(offset)
        : Result.ok({ records, validBytes: offset });
    }
    records.push(read.record);
    offset = read.nextOffset;
  }
  return Result.ok({ records, validBytes: offset });
}
