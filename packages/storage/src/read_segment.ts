import type { LogRecord } from "@teaselrouter/messages/control.ts";
import type { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { recordCodec } from "./record_codec.ts";

const SCANNED_BYTES = 1_048_576;

type Segment = {
  records: LogRecord[];
  /** Bytes that hold whole records; what follows is a torn tail. */
  wholeBytes: number;
};

function hasRecordAfter(bytes: Buffer, offset: number): boolean {
  const end = Math.min(bytes.length, offset + SCANNED_BYTES);
  for (let at = offset + 1; at < end; at += 1) {
    if (recordCodec.decode(bytes, at) !== undefined) return true;
  }
  return false;
}

/**
 * Reads a log segment. A process killed in the middle of a write leaves a
 * last record that is cut short: nothing in it was confirmed, so it is left
 * out. A bad record that whole ones follow is damage to confirmed entries:
 * going on without them could elect a leader that lacks an accepted change,
 * so the byte of the damage is given back as the error.
 */
export function readSegment(bytes: Buffer): Result<Segment, number> {
  const records: LogRecord[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const read = recordCodec.decode(bytes, offset);
    if (read === undefined) {
      return hasRecordAfter(bytes, offset)
        ? Result.err(offset)
        : Result.ok({ records, wholeBytes: offset });
    }
    records.push(read.record);
    offset = read.next;
  }
  return Result.ok({ records, wholeBytes: offset });
}
