import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyRoom } from "./body_room.ts";

const MAXIMUM_BYTES = 1_000;

function createRoom() {
  const room = new BodyRoom(MAXIMUM_BYTES);
  const givenUp: string[] = [];
  const open = (name: string, now: number) =>
    room.open(now, () => givenUp.push(name));
  return { room, givenUp, open };
}

// Guards against bodies that stand still and keep out the requests of others.
test("a body that stands still goes for one that arrives", () => {
  const { room, givenUp, open } = createRoom();
  assert.ok(open("old", 0).tryGrow(600, 0));
  assert.ok(open("young", 900).tryGrow(400, 900));
  const caller = open("caller", 1_000);
  assert.ok(caller.tryGrow(300, 1_000));
  assert.deepEqual(givenUp, ["old"]);
  assert.equal(room.bytes, 700);
});

// Guards against a body that is kept alive by a byte now and then.
test("a body that has taken most for longest goes though it grows", () => {
  const { givenUp, open } = createRoom();
  const trickling = open("trickling", 0);
  assert.ok(trickling.tryGrow(900, 0));
  assert.ok(trickling.tryGrow(1, 5_000));
  assert.ok(open("caller", 5_000).tryGrow(100, 5_000));
  assert.deepEqual(givenUp, ["trickling"]);
});

// Guards against a request that was passed on and is refused for want of room.
test("a body that has arrived is given up for none", () => {
  const { givenUp, open } = createRoom();
  const arrived = open("arrived", 0);
  assert.ok(arrived.tryGrow(900, 0));
  arrived.complete();
  const caller = open("caller", 1_000);
  assert.ok(!caller.tryGrow(200, 1_000));
  assert.ok(caller.tryGrow(100, 1_000));
  assert.deepEqual(givenUp, []);
});

// Guards against room that is never given back.
test("what was released or given up counts once", () => {
  const { room, open } = createRoom();
  const first = open("first", 0);
  assert.ok(first.tryGrow(900, 0));
  assert.ok(open("second", 10).tryGrow(500, 10));
  first.release();
  assert.equal(room.bytes, 500);
});

test("what could never be held is known before its first byte", () => {
  const { room, open } = createRoom();
  assert.ok(open("incomplete", 0).tryGrow(500, 0));
  assert.ok(room.couldHold(1_000));
  assert.ok(!room.couldHold(1_001));
  const arrived = open("arrived", 0);
  assert.ok(arrived.tryGrow(400, 0));
  arrived.complete();
  assert.ok(!room.couldHold(700));
});

// Drawn crowds: whatever they do, the room is never exceeded, and one small
// request is always taken while anything that hasn't arrived can go.
test("crowds of bodies never exceed the room nor keep a small one out", () => {
  const { room, open } = createRoom();
  for (let now = 1; now <= 2_000; now += 1) {
    open(`crowd-${now}`, now - 1).tryGrow(50 + (now * 7_919) % 200, now);
    assert.ok(room.bytes <= MAXIMUM_BYTES);
    if (now % 10 !== 0) continue;
    const small = open("small", now);
    assert.ok(small.tryGrow(20, now + 1), `at ${now}`);
    small.release();
  }
});
