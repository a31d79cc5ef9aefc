import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerRoom } from "./answer_room.ts";

const MEGABYTE = 1_048_576;
const MAX_TOTAL_MEGABYTES = 64;

// Guards against answers without end, many at once, that fill a host's memory.
test("answers without end stay within a bound together", () => {
  for (const calls of [1, 2, 8, 64, 500]) {
    const room = new AnswerRoom();
    let open = Array.from({ length: calls }, () => room.open());
    let most = 0;
    while (open.length > 0) {
      open = open.filter((place) => {
        const mayGoOn = room.tryGrow(place, MEGABYTE / 16);
        if (!mayGoOn) room.release(place);
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
  const room = new AnswerRoom();
  const small = room.open();
  const floods = Array.from({ length: 40 }, () => room.open());
  for (let turn = 0; turn < 400; turn += 1) {
    assert.ok(turn >= 100 || room.tryGrow(small, 1_000));
    for (const place of floods) {
      if (!room.tryGrow(place, MEGABYTE / 16)) room.release(place);
    }
  }
  assert.ok(room.tryGrow(small, 1_000));
});

// Guards against an answer that is given up for what has ended long before.
test("the room of an answer that has ended is free again", () => {
  const room = new AnswerRoom();
  for (let call = 0; call < 100; call += 1) {
    const place = room.open();
    assert.ok(room.tryGrow(place, 20 * MEGABYTE));
    room.release(place);
  }
});
