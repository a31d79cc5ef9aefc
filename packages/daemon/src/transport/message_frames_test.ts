import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { MessageFrames } from "./message_frames.ts";

function frame(bytes: number): Buffer {
  const whole = Buffer.alloc(5 + bytes, "x");
  whole[0] = 0;
  whole.writeUInt32BE(bytes, 1);
  return whole;
}

test("messages are followed however their bytes are cut", () => {
  const bytes = Buffer.concat([frame(300), frame(0), frame(70_000), frame(1)]);
  for (const step of [1, 4, 7, 1_000, bytes.length]) {
    const frames = new MessageFrames();
    let most = 0;
    let ended = 0;
    for (let at = 0; at < bytes.length; at += step) {
      const { hasEnded, heldBytes } = frames.push(
        bytes.subarray(at, at + step),
      );
      most = Math.max(most, heldBytes);
      if (hasEnded) ended += 1;
    }
    assert.equal(frames.push(Buffer.alloc(0)).heldBytes, 0);
    assert.ok(ended >= 1 && most < 70_000);
  }
});

// Guards against a message that is announced and never ends, and isn't counted.
test("what has come of a message that doesn't end is held", () => {
  const frames = new MessageFrames();
  const begun = frame(1_000_000).subarray(0, 5 + 40_000);
  assert.deepEqual(frames.push(begun), { hasEnded: false, heldBytes: 40_000 });
  const more = Buffer.alloc(10_000);
  assert.deepEqual(frames.push(more), { hasEnded: false, heldBytes: 50_000 });
});
