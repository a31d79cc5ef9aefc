import assert from "node:assert/strict";
import fc from "fast-check";
import { test } from "node:test";
import { applyCommand } from "../state/apply_command.ts";
import type { Command } from "../state/command.ts";
import { createEmptyControlState } from "../state/create_empty_control_state.ts";
import type { ContractRow } from "./contract_row.ts";

const SEED = 17;

function change(expected: number, rate: number, retired = false): Command {
  return {
    kind: "change-contract",
    workspace: "w",
    expected,
    content: {
      requests_per_second: rate,
      burst: 1,
      guaranteed_share: 0.4,
      deadline_milliseconds: 1_000,
      priority: 5,
      maximum_body_bytes: 1,
      services: ["s"],
    },
    retired,
    digest: `${rate} ${retired}`,
  };
}

test("exactly one of two changes from the same contract number wins", () => {
  // Two operators change a contract from the same number. One wins; the other
  // gets the current contract as its answer, and none of its change is kept.
  const state = createEmptyControlState();
  const first = applyCommand(state, change(0, 10), 1);
  const second = applyCommand(state, change(0, 20), 2);
  assert.ok(first.accepted);
  assert.ok(!second.accepted);
  assert.equal(second.reason, "number-replaced");
  const current = second.value as ContractRow;
  assert.equal(current.content.requests_per_second, 10);
});

test("a resent change gets the same answer and is applied once", () => {
  const state = createEmptyControlState();
  applyCommand(state, change(0, 10), 1);
  const again = applyCommand(state, change(0, 10), 2);
  assert.ok(again.accepted);
  assert.equal(state.contracts.get("w")!.number, 1);
  applyCommand(state, change(1, 30), 3);
  const late = applyCommand(state, change(0, 10), 4);
  assert.ok(late.accepted, "it had been accepted before it was replaced");
  assert.equal(state.contracts.get("w")!.content.requests_per_second, 30);
});

test("of a retirement and a change one wins; a retired contract can return", () => {
  const state = createEmptyControlState();
  applyCommand(state, change(0, 10), 1);
  assert.ok(applyCommand(state, change(1, 10, true), 2).accepted);
  assert.ok(!applyCommand(state, change(1, 50), 3).accepted);
  assert.ok(state.contracts.get("w")!.retired);
  assert.ok(applyCommand(state, change(2, 50), 4).accepted);
});

test("changes agree with a reference list of accepted contents", () => {
  console.log(`seed ${SEED}`);
  const step = fc.tuple(fc.nat(6), fc.integer({ min: 1, max: 3 }));
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const state = createEmptyControlState();
      const accepted: number[] = [];
      steps.forEach(([expected, rate], index) => {
        const answer = applyCommand(state, change(expected, rate), index + 1);
        const isNext = expected === accepted.length;
        const isSame = accepted[expected] === rate;
        if (isNext) accepted.push(rate);
        assert.equal(answer.accepted, isNext || isSame);
        const row = state.contracts.get("w");
        assert.equal(row?.number ?? 0, accepted.length);
        assert.equal(row?.content.requests_per_second, accepted.at(-1));
      });
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});
