import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import { LAST_SEQUENCE } from "@teaselrouter/core/departures/last_sequence.ts";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { CommandOf } from "@teaselrouter/core/state/command_of.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import { DepartureRecorder } from "./departure_recorder.ts";

type Command = CommandOf<"record-departures">;

function createDeparture(change: Partial<Departure> = {}): Departure {
  return {
    instance: "i-1",
    bornAt: 1_000,
    sequence: LAST_SEQUENCE,
    state: "gone",
    at: 5_000,
    ...change,
  };
}

/** A host whose log confirms when `confirm` is called. */
function openHost() {
  const state = createEmptyControlState();
  const proposed: { command: Command; settle: (isDone: boolean) => void }[] =
    [];
  const recorder = new DepartureRecorder({
    state: () => state,
    commit: (command) =>
      new Promise((resolve) =>
        proposed.push({
          command,
          settle: (isDone) =>
            resolve(
              isDone
                ? {
                  answer: applyCommand(state, command, state.appliedIndex + 1),
                }
                : undefined,
            ),
        })
      ),
    log: new EventLog("control", "error"),
    answerMilliseconds: 850,
  });
  return { recorder, proposed };
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

// Guards against an acknowledgement before a second process knows.
test("a departure is accepted only once the log has it", async () => {
  const { recorder, proposed } = openHost();
  let answer: string | undefined;
  const done = recorder.record(createDeparture()).then((value) => {
    answer = value;
  });
  await sleep(30);
  assert.equal(answer, undefined);
  proposed[0]!.settle(true);
  await done;
  assert.equal(answer, "accepted");
});

test("a departure that the log may not have is not accepted", async () => {
  const { recorder, proposed } = openHost();
  const answer = recorder.record(createDeparture());
  await sleep(30);
  proposed[0]!.settle(false);
  assert.equal(await answer, "unavailable");
  const again = recorder.record(createDeparture());
  await sleep(30);
  proposed[1]!.settle(true);
  assert.equal(await again, "accepted");
});

// Guards against a release in which one server's answer waits for another's, and
// against one entry in the log for each of hundreds.
test("servers that leave at once share an entry, and don't wait in turn", async () => {
  const { recorder, proposed } = openHost();
  const answers = Array.from(
    { length: 300 },
    (_, index) => recorder.record(createDeparture({ instance: `i-${index}` })),
  );
  await sleep(30);
  assert.deepEqual(
    proposed.map(({ command }) => command.departures.length),
    [256, 44],
  );
  const later = recorder.record(createDeparture({ instance: "later" }));
  await sleep(30);
  proposed[2]!.settle(true);
  assert.equal(await later, "accepted");
  for (const { settle } of proposed) settle(true);
  assert.deepEqual(new Set(await Promise.all(answers)), new Set(["accepted"]));
});

test("what is told again is accepted again, without a further entry", async () => {
  const { recorder, proposed } = openHost();
  const leaving = createDeparture({ state: "leaving", sequence: 5 });
  const first = recorder.record(leaving);
  await sleep(30);
  proposed[0]!.settle(true);
  await first;
  assert.equal(await recorder.record(leaving), "accepted");
  assert.equal(
    await recorder.record({ ...leaving, sequence: 6 }, 5),
    "accepted",
  );
  assert.equal(proposed.length, 1);
  // It was ready in between, which other hosts may know.
  const anew = recorder.record({ ...leaving, sequence: 9 }, 9);
  await sleep(30);
  proposed[1]!.settle(true);
  assert.equal(await anew, "accepted");
});
