import assert from "node:assert/strict";
import fc from "fast-check";
import { test } from "node:test";
import { applyCommand } from "../state/apply_command.ts";
import type { Command } from "../state/command.ts";
import { decodeControlState } from "../state/decode_control_state.ts";
import { createEmptyControlState } from "../state/create_empty_control_state.ts";
import { encodeControlState } from "../state/encode_control_state.ts";
import { AgentClaims } from "./agent_claims.ts";
import type { ClaimRow } from "./claim_row.ts";

const SEED = 41;
const KEYS = ["k1", "k2"];

function claim(key: string, requestId: string, incarnation = "x"): Command {
  return {
    kind: "claim",
    workspace: "w",
    key,
    service: "ledger",
    bodyDigest: "d",
    backendServer: "b",
    incarnation,
    requestId,
    at: 1,
  };
}

test("a key has one owner until its claim is withdrawn", () => {
  const state = createEmptyControlState();
  assert.ok(applyCommand(state, claim("k", "r1"), 1).accepted);
  const second = applyCommand(state, claim("k", "r2"), 2);
  assert.ok(!second.accepted);
  assert.equal((second.value as ClaimRow).requestId, "r1");
  const cancel: Command = {
    kind: "cancel-claim",
    workspace: "w",
    key: "k",
    claimIndex: 1,
  };
  assert.ok(applyCommand(state, cancel, 3).accepted);
  assert.ok(applyCommand(state, claim("k", "r2"), 4).accepted);
  assert.ok(!applyCommand(state, cancel, 5).accepted, "a late cancel");
});

test("a key with another body is refused", () => {
  const state = createEmptyControlState();
  applyCommand(state, claim("k", "r1"), 1);
  const other = { ...claim("k", "r2"), bodyDigest: "other" } as Command;
  const answer = applyCommand(state, other, 2);
  assert.equal(answer.reason, "key-used-for-another-call");
});

test("the first recorded outcome is kept, also across a snapshot", () => {
  const state = createEmptyControlState();
  applyCommand(state, claim("k", "r1"), 1);
  const settle = (outcome: "ran" | "unknown"): Command => ({
    kind: "settle-claim",
    workspace: "w",
    key: "k",
    claimIndex: 1,
    outcome,
    status: 200,
    contentType: "text/plain",
    answer: "YQ==",
  });
  applyCommand(state, settle("ran"), 2);
  const restored = decodeControlState(
    encodeControlState(state, { withClaims: true }),
  );
  assert.deepEqual(restored, state);
  const late = applyCommand(restored, settle("unknown"), 3);
  assert.equal((late.value as ClaimRow).state, "ran");
});

test("in any order of arrival calls run once, and never after not-run", () => {
  // Calls, their late copies and requests to settle them reach an agent in any
  // order, while the key is claimed, withdrawn and claimed again. A call that
  // was declared not run must not run later, and no key runs twice.
  const step = fc.record({
    kind: fc.constantFrom("claim", "arrive", "settle"),
    key: fc.constantFrom(...KEYS),
    pick: fc.nat(20),
  });
  console.log(`seed ${SEED}`);
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const state = createEmptyControlState();
      const agent = new AgentClaims("x");
      const granted: ClaimRow[] = [];
      const ran = new Map<string, number>();
      const notRun = new Set<string>();
      let index = 0;
      for (const { kind, key, pick } of steps) {
        index += 1;
        if (kind === "claim") {
          const answer = applyCommand(state, claim(key, `r${index}`), index);
          if (answer.accepted) granted.push(answer.value as ClaimRow);
          continue;
        }
        const row = granted[pick % Math.max(1, granted.length)];
        if (row === undefined) continue;
        const id = `${row.key} ${row.claimIndex}`;
        if (kind === "arrive") {
          const verdict = agent.admit(row, index);
          if (verdict.kind === "run") {
            assert.ok(!notRun.has(id), `${id} ran after "not run"`);
            ran.set(row.key, (ran.get(row.key) ?? 0) + 1);
          }
          if (verdict.kind === "refuse" && verdict.outcome === "not-run") {
            notRun.add(id);
          }
          continue;
        }
        const running = agent.withdrawUnlessKnown(
          row.key,
          row.claimIndex,
          index,
        );
        if (running !== undefined) continue;
        notRun.add(id);
        applyCommand(state, {
          kind: "cancel-claim",
          workspace: "w",
          key: row.key,
          claimIndex: row.claimIndex,
        }, index);
      }
      for (const [key, count] of ran) {
        assert.ok(count <= 1, `${key} ran ${count} times`);
      }
    }),
    { seed: SEED, numRuns: 3_000 },
  );
});

test("a claim for an earlier process of the agent never runs here", () => {
  const agent = new AgentClaims("new");
  const verdict = agent.admit({
    key: "k",
    claimIndex: 1,
    incarnation: "old",
    requestId: "r",
  }, 1);
  assert.deepEqual(verdict, {
    kind: "refuse",
    outcome: "unknown",
    reason: "agent-restarted",
  });
});
