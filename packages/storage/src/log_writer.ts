import { create } from "@bufbuild/protobuf";
import type { LogRecord } from "@teaselrouter/messages/control.ts";
import { LogRecordSchema } from "@teaselrouter/messages/control.ts";
import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { isDiskFull } from "./is_disk_full.ts";
import type { LogBatch } from "./log_batch.ts";
import type { LogFile } from "./log_file.ts";
import { recordCodec } from "./record_codec.ts";
import type { StorageProblem } from "./storage_problem.ts";

function toLogRecords(batch: LogBatch): LogRecord[] {
  const records: LogRecord[] = [];
  const addRecord = (record: LogRecord["record"]) =>
    records.push(create(LogRecordSchema, { record }));
  // The hard state comes first: wherever a write is torn, the log contains no
  // entry of a later term than the stored one.
  if (batch.hardState !== undefined) {
    addRecord({ case: "hardState", value: batch.hardState });
  }
  if (batch.truncateFrom !== undefined) {
    addRecord({ case: "truncateFrom", value: batch.truncateFrom });
  }
  for (const value of batch.entries) addRecord({ case: "entry", value });
  return records;
}

/** Appends batches to a log segment; each is durable once it is synced. */
export class LogWriter {
  #file: LogFile;
  #lengthBytes: number;

  constructor(file: LogFile, lengthBytes: number) {
    this.#file = file;
    this.#lengthBytes = lengthBytes;
  }

  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  /**
   * Appends a batch and syncs the segment. After "disk-full" the segment is as
   * before, and the batch may be retried. After "sync-failed", which also
   * stands for a write that failed for another reason than a full disk, the
   * process must stop: the kernel may have dropped pages that still read back
   * as written, so no later write can be trusted.
   */
  async append(batch: LogBatch): Promise<Result<void, StorageProblem>> {
    const bytes = Buffer.concat(toLogRecords(batch).map(recordCodec.encode));
    try {
      await this.#file.write(bytes, this.#lengthBytes);
    } catch (error) {
      await this.#file.truncate(this.#lengthBytes).catch(() => undefined);
      const kind = isDiskFull(error) ? "disk-full" : "sync-failed";
      return Result.err({ kind, detail: String(error) });
    }
    try {
      await this.#file.sync();
    } catch (error) {
      return Result.err({ kind: "sync-failed", detail: String(error) });
    }
    this.#lengthBytes += bytes.length;
    return Result.ok(undefined);
  }

  async close(): Promise<void> {
    await this.#file.close();
  }
}
