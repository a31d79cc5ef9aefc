import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { LogRecord } from "@teaselrouter/messages/control.ts";
import { LogRecordSchema } from "@teaselrouter/messages/control.ts";
import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";

const HEADER_BYTES = 8;

type DecodedRecord = { record: LogRecord; nextOffset: number };

/**
 * Encodes and decodes log records on disk. A record is the length and the
 * CRC-32 of its payload, 4 bytes each, little-endian, then the protobuf
 * payload.
 */
export const recordCodec = {
  encode(record: LogRecord): Buffer {
    const payload = toBinary(LogRecordSchema, record);
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
    bytes.writeUInt32LE(payload.length, 0);
    bytes.writeUInt32LE(crc32(payload), 4);
    bytes.set(payload, HEADER_BYTES);
    return bytes;
  },

  /**
   * Decodes the record at `offset`; undefined if there is no complete record
   * with a correct checksum.
   */
  decode(bytes: Buffer, offset: number): DecodedRecord | undefined {
    const start = offset + HEADER_BYTES;
    if (start > bytes.length) return undefined;
    const length = bytes.readUInt32LE(offset);
    if (length === 0 || start + length > bytes.length) return undefined;
    const payload = bytes.subarray(start, start + length);
    if (crc32(payload) !== bytes.readUInt32LE(offset + 4)) return undefined;
    return {
      record: fromBinary(LogRecordSchema, payload),
      nextOffset: start + length,
    };
  },
};
