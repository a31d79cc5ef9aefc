import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import type { CommandOf } from "@teaselrouter/core/state/command_of.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Subject } from "rxjs";
import type { ControlSession } from "./control_session.ts";
import { PermitQueue } from "./permit_queue.ts";

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function requestBy(backendServer: string): CommandOf<"request-permit"> {
  return {
    kind: "request-permit",
    service: "drafter",
    backendServer,
    incarnation: "a",
    version: "drafter@2",
    wasServing: true,
    live: 3,
    at: 0,
  };
}

/** A log that commits at once and tells each entry as a change of its tables. */
function openLog() {
  const state = createEmptyControlState();
  state.weights.set("drafter", {
    manifest: { name: "drafter", version: "2" },
    servingShare: 0.5,
  } as never);
  const changed$ = new Subject<ControlState>();
  const committed: Command[] = [];
  const commit = (command: Command) => {
    committed.push(command);
    const result = applyCommand(
      state,
      { ...command, at: Date.now() } as Command,
      committed.length,
    );
    setTimeout(() => changed$.next(state), 5);
    return Promise.resolve({ kind: "committed", result });
  };
  const control = { state, changed$, propose: commit };
  return {
    state,
    committed,
    commit,
    control: control as unknown as ControlSession,
  };
}

// Guards against a log that fills with refused requests: each one changes the
// tables, which is a reason to ask again.
test("a request that must wait is not proposed again and again", async () => {
  const { control, state, committed, commit } = openLog();
  const queue = new PermitQueue(control);
  queue.add(requestBy("drafter-1"));
  await sleep(50);
  queue.add(requestBy("drafter-2"));
  await sleep(800);
  const { length } = committed;
  assert.ok(length <= 3, `${length} proposals`);
  assert.deepEqual([...state.permits.keys()], ["drafter-1"]);
  const { fencingToken } = state.permits.get("drafter-1")!;
  await commit({
    kind: "settle-permit",
    backendServer: "drafter-1",
    fencingToken,
  });
  await sleep(100);
  assert.deepEqual([...state.permits.keys()], ["drafter-2"]);
  queue.stop();
});
