import assert from "node:assert/strict";
import { test } from "node:test";
import { TurnShare } from "./turn_share.ts";

const PACKET_PARTS = 10_000;
const CROWD = 60;

/** Readers of a crowd by turns, each packet of which has thousands of parts. */
function playCrowd(turns: number) {
  const share = new TurnShare<string>();
  const waiting = new Set<string>();
  const packets = new Map<string, number>();
  const read = (reader: string, parts: number) => {
    for (let part = 0; part < parts; part += 1) share.countPart(reader);
    packets.set(reader, (packets.get(reader) ?? 0) + 1);
    if (share.isSpent) waiting.add(reader);
  };
  for (let index = 0; index < CROWD; index += 1) {
    read(`crowd-${index}`, PACKET_PARTS);
  }
  let most = 0;
  for (let turn = 0; turn < turns; turn += 1) {
    const going = share.beginTurn(waiting);
    for (const reader of going) waiting.delete(reader);
    most = Math.max(most, going.length);
    for (const reader of going) read(reader, PACKET_PARTS);
  }
  return { share, waiting, packets, most };
}

// Guards against a process that reads what a crowd sends and does nothing else.
test("of a crowd with thousands of parts a packet one reads in a turn", () => {
  const { most, packets } = playCrowd(10 * CROWD);
  assert.equal(most, 1);
  const counts = [...packets.values()];
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, `${counts}`);
});

// Guards against a proper caller that waits behind a crowd.
test("a reader of few parts goes on in each turn", () => {
  const { share, waiting } = playCrowd(CROWD);
  share.countPart("caller");
  waiting.add("caller");
  const going = share.beginTurn(waiting);
  assert.equal(going[0], "caller");
  assert.equal(going.length, 2);
});

// Guards against a single proper body in many chunks that is never read on.
test("a reader that is alone reads in each turn", () => {
  const share = new TurnShare<string>();
  for (let turn = 0; turn < 100; turn += 1) {
    for (let part = 0; part < PACKET_PARTS; part += 1) share.countPart("one");
    assert.ok(share.isSpent);
    assert.deepEqual(share.beginTurn(["one"]), ["one"]);
  }
});
