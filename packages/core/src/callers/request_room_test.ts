import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestRoom } from "./request_room.ts";

const MAXIMUM = 100;

// Guards against a crowd of connections, each with a few requests behind each
// other.
test("requests that wait on all connections stay within their room", () => {
  const room = new RequestRoom<number>(MAXIMUM);
  const closed = new Set<number>();
  for (let count = 1; count <= 20; count += 1) {
    for (let connection = 0; connection < 50; connection += 1) {
      if (closed.has(connection)) continue;
      const victim = room.record(connection, count);
      if (victim !== undefined) closed.add(victim);
      assert.ok(room.waiting <= MAXIMUM, `${room.waiting} wait`);
    }
  }
  assert.ok(closed.size < 50, "some connections are left");
});

// Guards against ordinary clients that are closed for what others send.
test("the connection on which most wait goes first", () => {
  const room = new RequestRoom<string>(MAXIMUM);
  assert.equal(room.record("proper", 2), undefined);
  assert.equal(room.record("unruly", MAXIMUM), undefined);
  assert.equal(room.record("other", 3), "unruly");
  assert.equal(room.waiting, 3);
});

test("connections with one request at a time take no room", () => {
  const room = new RequestRoom<number>(0);
  for (let connection = 0; connection < 1_000; connection += 1) {
    assert.equal(room.record(connection, 1), undefined);
    assert.equal(room.record(connection, 0), undefined);
  }
  assert.equal(room.waiting, 0);
});

// Guards against room that closed connections keep.
test("a closed connection leaves its room to others", () => {
  const room = new RequestRoom<number>(MAXIMUM);
  room.record(1, MAXIMUM);
  room.remove(1);
  assert.equal(room.record(2, MAXIMUM), undefined);
  assert.equal(room.waiting, MAXIMUM - 1);
});
