import assert from "node:assert/strict";
import { test } from "node:test";
import { ArrivalTurns } from "./arrival_turns.ts";

const CROWD = 1_000;
const MAX_A_TURN = 4;

/** Connections that are open all at once; all have sent their first packet. */
class Crowd {
  readonly turns = new ArrivalTurns<number>();
  readonly read: number[] = [];
  #reading = new Set<number>();

  constructor() {
    for (let index = 0; index < CROWD; index += 1) {
      this.turns.arrive(index);
      this.#reading.add(index);
    }
  }

  /** Reads all that may be read in this turn; returns how many. */
  playTurn(): number {
    const before = this.read.length;
    for (const index of this.#reading) {
      this.#reading.delete(index);
      this.read.push(index);
      for (const other of this.turns.countRead(index)) {
        this.#reading.delete(other);
      }
    }
    for (const index of this.turns.beginTurn()) this.#reading.add(index);
    return this.read.length - before;
  }
}

// Guards against a crowd that opens its connections first, and whose packets then
// are parsed in one turn.
test("first packets that come at once are read few by few, in their order", () => {
  const crowd = new Crowd();
  while (crowd.read.length < CROWD) {
    const count = crowd.playTurn();
    assert.ok(count > 0 && count <= MAX_A_TURN, `${count} in a turn`);
  }
  const inOrder = Array.from({ length: CROWD }, (_, index) => index);
  assert.deepEqual(crowd.read, inOrder);
  crowd.playTurn();
  assert.ok(!crowd.turns.needsTurn);
});

// Guards against ordinary callers that wait for nothing.
test("connections that come one by one are never halted", () => {
  const turns = new ArrivalTurns<number>();
  for (let index = 0; index < CROWD; index += 1) {
    turns.arrive(index);
    turns.arrive(-1 - index);
    assert.deepEqual(turns.countRead(index), []);
    turns.beginTurn();
  }
});

// Guards against connections that are gone and hold up those behind them.
test("connections that have left take no part of a turn", () => {
  const crowd = new Crowd();
  crowd.playTurn();
  for (let index = 0; index < CROWD - 1; index += 1) crowd.turns.leave(index);
  assert.deepEqual(crowd.turns.beginTurn(), [CROWD - 1]);
});

// Guards against requests of connections that are known already: they are bound
// by their number.
test("further requests of a connection halt nobody", () => {
  const turns = new ArrivalTurns<number>();
  turns.arrive(1);
  turns.arrive(2);
  for (let count = 0; count < CROWD; count += 1) {
    assert.deepEqual(turns.countRead(1), []);
  }
});
