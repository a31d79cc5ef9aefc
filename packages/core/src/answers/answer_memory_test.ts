import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerMemory } from "./answer_memory.ts";

const MEGABYTE = 1_048_576;
const MAX_TOTAL_MEGABYTES = 64;

// Guards against answers without end, many at once, that fill a host's memory.
test("answers without end stay within a bound together", () => {
  for (const calls of [1, 2, 8, 64, 500]) {
    const memory = new AnswerMemory();
    let open = Array.from({ length: calls }, () => memory.open());
    let most = 0;
    while (open.length > 0) {
      open = open.filter((answer) => {
        const mayGoOn = memory.tryGrow(answer, MEGABYTE / 16);
        if (!mayGoOn) memory.release(answer);
        return mayGoOn;
      });
      const total = open.reduce((sum, { bytes }) => sum + bytes, 0);
      most = Math.max(most, total / MEGABYTE);
    }
    assert.ok(most <= MAX_TOTAL_MEGABYTES, `${calls} calls: ${most} MB`);
  }
});

// Guards against small answers that end with those without end beside them.
test("a small answer goes on beside answers without end", () => {
  const memory = new AnswerMemory();
  const small = memory.open();
  const floods = Array.from({ length: 40 }, () => memory.open());
  for (let turn = 0; turn < 400; turn += 1) {
    assert.ok(turn >= 100 || memory.tryGrow(small, 1_000));
    for (const answer of floods) {
      if (!memory.tryGrow(answer, MEGABYTE / 16)) memory.release(answer);
    }
  }
  assert.ok(memory.tryGrow(small, 1_000));
});

// Guards against an answer that is given up for what has ended long before.
test("the memory of an answer that has ended is free again", () => {
  const memory = new AnswerMemory();
  for (let call = 0; call < 100; call += 1) {
    const answer = memory.open();
    assert.ok(memory.tryGrow(answer, 20 * MEGABYTE));
    memory.release(answer);
  }
});
