import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionRoom } from "./connection_room.ts";

const MAXIMUM = 3;

function createRoom() {
  const room = new ConnectionRoom<string>(MAXIMUM);
  const closed: string[] = [];
  const admit = (name: string, now: number) =>
    room.admit(name, now, () => closed.push(name));
  return { room, closed, admit };
}

// Guards against connections without a request that keep callers out.
test("the connection that is open longest without a request goes first", () => {
  const { room, closed, admit } = createRoom();
  for (const [now, name] of ["a", "b", "c"].entries()) admit(name, now);
  room.markBusy("a", 3);
  room.markIdle("a", 4);
  assert.ok(admit("d", 5));
  assert.deepEqual(closed, ["b"]);
  assert.equal(room.size, MAXIMUM);
});

// Guards against a caller whose request is cut off for a new connection.
test("a connection whose request has arrived goes for none", () => {
  const { room, closed, admit } = createRoom();
  for (const [now, name] of ["a", "b", "c"].entries()) {
    admit(name, now);
    room.markBusy(name, now);
  }
  assert.ok(!admit("d", 5));
  room.markIdle("c", 6);
  assert.ok(admit("d", 7));
  assert.deepEqual(closed, ["c"]);
});

// Guards against room that is lost with each connection that ends.
test("a connection that has ended takes no room", () => {
  const { room, closed, admit } = createRoom();
  for (let now = 0; now < 10; now += 1) {
    assert.ok(admit(`c-${now}`, now));
    room.remove(`c-${now}`);
  }
  assert.equal(room.size, 0);
  assert.deepEqual(closed, []);
});
