import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { BLOCK_BYTES } from "./block_bytes.ts";
import { BlockPool } from "./block_pool.ts";
import { CollectedBody } from "./collected_body.ts";

for (const partBytes of [1, 7, 1_000, 65_536, 200_000]) {
  // Guards against bytes that are lost, doubled or swapped between blocks.
  test(`a body in parts of ${partBytes} bytes is joined as it came`, () => {
    const whole = Buffer.from(
      Array.from({ length: 300_001 }, (_, index) => index % 251),
    );
    const body = new CollectedBody(new BlockPool());
    let cost = 0;
    for (let at = 0; at < whole.length; at += partBytes) {
      const part = whole.subarray(at, at + partBytes);
      cost += body.costOf(part.length);
      body.add(part);
    }
    assert.ok(cost >= whole.length);
    assert.ok(cost <= whole.length + partBytes + BLOCK_BYTES, `${cost}`);
    assert.ok(body.join().equals(whole));
  });
}

test("a body without bytes is empty", () => {
  assert.equal(new CollectedBody(new BlockPool()).join().length, 0);
});
