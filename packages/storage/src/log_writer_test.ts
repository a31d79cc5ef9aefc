import { create } from "@bufbuild/protobuf";
import { HardStateSchema } from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { LogFile } from "./log_file.ts";
import { LogWriter } from "./log_writer.ts";
import { readSegment } from "./read_segment.ts";

/** An in-memory file that can fill up and whose syncs can fail. */
class FaultyFile implements LogFile {
  bytes = Buffer.alloc(0);
  capacity = Infinity;
  failsSync = false;

  write(bytes: Buffer, position: number): Promise<void> {
    const writableBytes = Math.min(bytes.length, this.capacity - position);
    this.bytes = Buffer.concat([
      this.bytes.subarray(0, position),
      bytes.subarray(0, writableBytes),
    ]);
    if (writableBytes === bytes.length) return Promise.resolve();
    return Promise.reject(Object.assign(new Error("no space left"), {
      code: "ENOSPC",
    }));
  }

  sync(): Promise<void> {
    return this.failsSync
      ? Promise.reject(new Error("input/output error"))
      : Promise.resolve();
  }

  truncate(length: number): Promise<void> {
    this.bytes = this.bytes.subarray(0, length);
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

function hardStateBatch(term: number) {
  return {
    hardState: create(HardStateSchema, { term }),
    truncateFrom: undefined,
    entries: [],
  };
}

test("a full disk leaves the log intact and writable once there is space", async () => {
  // The disk fills up during a write. The batch must be refused, the earlier
  // batches must stay intact, and later batches must be appended after them.
  const file = new FaultyFile();
  const writer = new LogWriter(file, 0);
  assert.ok((await writer.append(hardStateBatch(1))).isOk);
  const length = file.bytes.length;
  file.capacity = length + 5;
  const refused = await writer.append(hardStateBatch(2));
  assert.ok(refused.isErr && refused.error.kind === "disk-full");
  assert.equal(file.bytes.length, length);
  file.capacity = Infinity;
  assert.ok((await writer.append(hardStateBatch(2))).isOk);
  const read = readSegment(file.bytes);
  assert.ok(read.isOk);
  assert.equal(read.value.records.length, 2);
});

test("a failed sync is distinguished from a full disk", async () => {
  const file = new FaultyFile();
  file.failsSync = true;
  const written = await new LogWriter(file, 0).append(hardStateBatch(1));
  assert.ok(written.isErr && written.error.kind === "sync-failed");
});
