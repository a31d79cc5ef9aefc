import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { LogRecord } from "@teaselrouter/messages/control.ts";
import { LogRecordSchema } from "@teaselrouter/messages/control.ts";
import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";

const HEADER_BYTES = 8;

type Read = { record: LogRecord; next: number };

/** A log record on disk: length and CRC-32, each 4 bytes, then protobuf. */
export const recordCodec = {
  encode(record: LogRecord): Buffer {
    const payload = toBinary(LogRecordSchema, record);
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
    bytes.writeUInt32LE(payload.length, 0);
    bytes.writeUInt32LE(crc32(payload), 4);
    bytes.set(payload, HEADER_BYTES);
    return bytes;
  },

  /** Reads the record at `offset`; undefined when none stands there whole. */
  decode(bytes: Buffer, offset: number): Read | undefined {
    const start = offset + HEADER_BYTES;
    if (start > bytes.length) return undefined;
    const length = bytes.readUInt32LE(offset);
    if (length === 0 || start + length > bytes.length) return undefined;
    const payload = bytes.subarray(start, start + length);
    if (crc32(payload) !== bytes.readUInt32LE(offset + 4)) return undefined;
    return {
      record: fromBinary(LogRecordSchema, payload),
      next: start + length,
    };
  },
};
