import { create } from "@bufbuild/protobuf";
import { HardStateSchema } from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { LogFile } from "./log_file.ts";
import { LogWriter } from "./log_writer.ts";
import { readSegment } from "./read_segment.ts";

/** A disk that fills up or fails to sync when told to. */
class FaultyFile implements LogFile {
  bytes = Buffer.alloc(0);
  room = Infinity;
  failsSync = false;

  write(bytes: Buffer, position: number): Promise<void> {
    const taken = Math.min(bytes.length, this.room - position);
    this.bytes = Buffer.concat([
      this.bytes.subarray(0, position),
      bytes.subarray(0, taken),
    ]);
    if (taken === bytes.length) return Promise.resolve();
    return Promise.reject(Object.assign(new Error("no room"), {
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

function vote(term: number) {
  return {
    hardState: create(HardStateSchema, { term }),
    truncateFrom: undefined,
    entries: [],
  };
}

test("a full disk leaves the log whole, and it goes on when there is room", async () => {
  // Story: the disk fills in the middle of a write. The change is refused,
  // what stood before is still whole, and later changes follow on it.
  const file = new FaultyFile();
  const writer = new LogWriter(file, 0);
  assert.ok((await writer.append(vote(1))).isOk);
  const length = file.bytes.length;
  file.room = length + 5;
  const refused = await writer.append(vote(2));
  assert.ok(refused.isErr && refused.error.kind === "disk-full");
  assert.equal(file.bytes.length, length);
  file.room = Infinity;
  assert.ok((await writer.append(vote(2))).isOk);
  const read = readSegment(file.bytes);
  assert.ok(read.isOk);
  assert.equal(read.value.records.length, 2);
});

test("a failed sync is told apart from a full disk", async () => {
  const file = new FaultyFile();
  file.failsSync = true;
  const written = await new LogWriter(file, 0).append(vote(1));
  assert.ok(written.isErr && written.error.kind === "sync-failed");
});
