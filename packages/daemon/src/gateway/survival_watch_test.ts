import type { Survival } from "@teaselrouter/core/crashes/survival.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { InFlightCall } from "./in_flight_call.ts";
import { SurvivalWatch } from "./survival_watch.ts";

/** Several checks of the answers in flight. */
const CHECK_MILLISECONDS = 200;
const RUNNING_MILLISECONDS = 300;
const COMPLETE_MILLISECONDS = 50;

function callWith(...sharedParts: string[]): AdmittedCall {
  return { metadata: { sharedParts } } as unknown as AdmittedCall;
}

function openWatch(calls: InFlightCall[]) {
  const reported: Survival[] = [];
  const watch = new SurvivalWatch({
    listCalls: () => calls,
    report: (survivals) => reported.push(...survivals),
  });
  const watchPart = (part: string, since: number) =>
    watch.watch([{
      part,
      since,
      thresholds: {
        complete: COMPLETE_MILLISECONDS,
        running: RUNNING_MILLISECONDS,
      },
    }]);
  return { watch, watchPart, reported };
}

function inFlight(
  call: AdmittedCall,
  { begunAt, receivedAt }: { begunAt: number; receivedAt: number },
): InFlightCall {
  return {
    call,
    abort: () => {},
    progress: () => ({ begunAt, lastReceivedAt: () => receivedAt }),
  };
}

// Guards against a sound part that is blamed since none of its long answers
// comes to its end before a decision.
test("a running answer that has survived on a watched part is reported once", async () => {
  const now = monotonicMilliseconds();
  const long = { begunAt: now - 1_000, receivedAt: now };
  const { watch, watchPart, reported } = openWatch([
    inFlight(callWith("a", "b"), long),
  ]);
  watchPart("a", now - 2_000);
  await sleep(CHECK_MILLISECONDS);
  watch.stop();
  assert.deepEqual(reported.map(({ part }) => part), ["a"]);
});

// Guards against clearing a harmful part by answers that started before it became
// harmful, were too short, or belong to a silent server.
test("answers that can't clear a part are not reported", async () => {
  const now = monotonicMilliseconds();
  const { watch, watchPart, reported } = openWatch([
    inFlight(callWith("a"), { begunAt: now - 3_000, receivedAt: now }),
    inFlight(callWith("a"), { begunAt: now - 1_000, receivedAt: now - 990 }),
  ]);
  watchPart("a", now - 2_000);
  watch.recordEnd(callWith("a"), now - 3_000);
  watch.recordEnd(callWith("a"), now - 20);
  await sleep(CHECK_MILLISECONDS);
  assert.deepEqual(reported, []);
  watch.recordEnd(callWith("a"), now - 500);
  await sleep(CHECK_MILLISECONDS);
  watch.stop();
  assert.deepEqual(reported.map(({ isComplete }) => isComplete), [true]);
});

// Guards against a flood of rare parts that fills the links to control hosts.
test("survivals are reported within bounds", async () => {
  const now = monotonicMilliseconds();
  const { watch, watchPart, reported } = openWatch([]);
  for (let index = 0; index < 2_000; index += 1) {
    watchPart(`part-${index}`, now - 2_000);
    watch.recordEnd(callWith(`part-${index}`), now - 1_000);
  }
  await sleep(CHECK_MILLISECONDS);
  watch.stop();
  assert.equal(reported.length, 64);
});

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
