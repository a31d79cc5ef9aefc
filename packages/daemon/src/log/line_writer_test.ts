import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  readSync,
  rmSync,
} from "node:fs";
import { Buffer } from "node:buffer";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { LineWriter } from "./line_writer.ts";

const LINE = `${"x".repeat(1_000)}\n`;
const LINES = 2_000;

test("a pipe that nobody reads neither blocks nor takes unbounded memory", async () => {
  // The log collector hangs and its pipe fills up. The process must not block,
  // must buffer only a bounded part of the lines, and must report how many were
  // dropped once the collector reads again.
  const folder = mkdtempSync(join(tmpdir(), "teaselrouter-log-"));
  const path = join(folder, "pipe");
  execFileSync("mkfifo", [path]);
  const descriptor = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  const writer = new LineWriter(descriptor);
  for (let line = 0; line < LINES; line += 1) writer.write(LINE, "usual");
  writer.write("event=failed\n", "failure");
  assert.ok(writer.pendingCharacters < 300_000, `${writer.pendingCharacters}`);
  const buffer = Buffer.alloc(65_536);
  let text = "";
  while (!text.includes("lines-dropped") || !text.includes("event=failed")) {
    await new Promise((resolve) => setTimeout(resolve, 5));
    try {
      const read = readSync(descriptor, buffer);
      text += buffer.toString("utf8", 0, read);
    } catch (error) {
      assert.equal((error as { code?: string }).code, "EAGAIN");
    }
    writer.write("event=later\n", "usual");
  }
  assert.match(text, /lines-dropped usual=1\d{3} failure=0/);
  closeSync(descriptor);
  rmSync(folder, { recursive: true });
});
