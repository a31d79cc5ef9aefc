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

function recordsOf(batch: LogBatch): LogRecord[] {
  const records: LogRecord[] = [];
  const push = (record: LogRecord["record"]) =>
    records.push(create(LogRecordSchema, { record }));
  // The term goes first: torn behind it, no entry is newer than the term.
  if (batch.hardState !== undefined) {
    push({ case: "hardState", value: batch.hardState });
  }
  if (batch.truncateFrom !== undefined) {
    push({ case: "truncateFrom", value: batch.truncateFrom });
  }
  for (const value of batch.entries) push({ case: "entry", value });
  return records;
}

/** Appends batches to one log segment, each lasting once its sync is done. */
export class LogWriter {
  #file: LogFile;
  #length: number;

  constructor(file: LogFile, length: number) {
    this.#file = file;
    this.#length = length;
  }

  get length(): number {
    return this.#length;
  }

  /**
   * A full disk leaves the segment as it was, so the batch may be tried
   * again. A failed sync may have dropped pages that read back as written,
   * so nothing after it can be trusted: the process must stop.
   */
  async append(batch: LogBatch): Promise<Result<void, StorageProblem>> {
    const bytes = Buffer.concat(recordsOf(batch).map(recordCodec.encode));
    try {
      await this.#file.write(bytes, this.#length);
    } catch (error) {
      await this.#file.truncate(this.#length).catch(() => undefined);
      const kind = isDiskFull(error) ? "disk-full" : "sync-failed";
      return Result.err({ kind, detail: String(error) });
    }
    try {
      await this.#file.sync();
    } catch (error) {
      return Result.err({ kind: "sync-failed", detail: String(error) });
    }
    this.#length += bytes.length;
    return Result.ok(undefined);
  }

  async close(): Promise<void> {
    await this.#file.close();
  }
}
