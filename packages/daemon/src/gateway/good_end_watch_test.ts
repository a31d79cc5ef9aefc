import type { GoodEndNews } from "@teaselrouter/core/crashes/good_end_news.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { GoodEndWatch } from "./good_end_watch.ts";

/** Several checks for what there is to tell. */
const CHECK_MILLISECONDS = 200;
/** Longer than a second, in which ends that may be told are counted. */
const SECOND_MILLISECONDS = 1_200;
const MAX_ENDS_PER_SECOND = 128;
const FLOOD = 400;

function callWith(...sharedParts: string[]): AdmittedCall {
  return { metadata: { sharedParts } } as unknown as AdmittedCall;
}

function openWatch() {
  const told: GoodEndNews[] = [];
  const watch = new GoodEndWatch({ report: (news) => told.push(news) });
  const partsTold = () =>
    told.flatMap(({ ends }) => ends.map(({ part }) => part));
  return { watch, told, partsTold };
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

// Guards against a sound part that is blamed since nobody tells of its answers,
// also of those that ended just before the news that it is suspected.
test("a good end on a watched part is told once", async () => {
  const { watch, told, partsTold } = openWatch();
  const now = monotonicMilliseconds();
  watch.recordEnd(callWith("a", "b"), now - 1_000);
  watch.watch([{ part: "a", since: now - 500 }]);
  await sleep(CHECK_MILLISECONDS);
  assert.deepEqual(partsTold(), ["a"]);
  assert.deepEqual(told.at(-1)!.totals.count, 1);
  watch.recordEnd(callWith("b", "a"), now - 100);
  await sleep(CHECK_MILLISECONDS);
  watch.stop();
  assert.deepEqual(partsTold(), ["a", "a"]);
  const { sentAt, endedAt } = told.at(-1)!.ends[0]!;
  assert.equal(sentAt, now - 100);
  assert.ok(endedAt >= now);
});

// Guards against clearing a harmful part by answers that ended before it became
// harmful, and against counts that stay at what they were when a watch began.
test("ends that can't clear a part are counted and not told", async () => {
  const { watch, told, partsTold } = openWatch();
  const sentAt = monotonicMilliseconds() - 1_000;
  watch.recordEnd(callWith("a"), sentAt);
  await sleep(CHECK_MILLISECONDS);
  watch.watch([{ part: "a", since: monotonicMilliseconds() }]);
  await sleep(CHECK_MILLISECONDS);
  const [first] = told;
  assert.equal(told.length, 1);
  assert.equal(first!.totals.count, 1);
  assert.deepEqual(
    first!.starts.map(({ part, totals }) => [part, totals.count]),
    [["a", 1]],
  );
  watch.recordEnd(callWith("b"), sentAt);
  watch.recordEnd(callWith(), sentAt);
  await sleep(CHECK_MILLISECONDS);
  watch.stop();
  assert.deepEqual(partsTold(), []);
  assert.deepEqual(told.map(({ totals }) => totals.count), [1, 3]);
  assert.ok(told[1]!.totals.runMilliseconds >= 3_000);
});

// Guards against a control host that counts none of a gateway's good ends, as it
// began to follow after the watches had.
test("watched parts are told of anew", async () => {
  const { watch, told } = openWatch();
  watch.watch([{ part: "a", since: monotonicMilliseconds() }]);
  await sleep(CHECK_MILLISECONDS);
  watch.tellAnew();
  await sleep(CHECK_MILLISECONDS);
  watch.stop();
  assert.deepEqual(
    told.map(({ starts }) => starts.map(({ part }) => part)),
    [["a"], ["a"]],
  );
});

// Guards against a flood of rare parts that fills the links to control hosts, and
// against counts that speak against a part whose own ends wait to be told.
test("good ends are told within bounds, and none counts before those", async () => {
  const { watch, told, partsTold } = openWatch();
  const now = monotonicMilliseconds();
  for (let index = 0; index < FLOOD; index += 1) {
    watch.watch([{ part: `part-${index}`, since: now - 2_000 }]);
    watch.recordEnd(callWith(`part-${index}`), now - 1_000);
  }
  await sleep(CHECK_MILLISECONDS);
  assert.equal(partsTold().length, MAX_ENDS_PER_SECOND);
  const countsTold = () => told.map(({ totals }) => totals.count);
  assert.deepEqual(countsTold(), [0]);
  await sleep(3 * SECOND_MILLISECONDS);
  watch.stop();
  assert.equal(new Set(partsTold()).size, FLOOD);
  assert.deepEqual(countsTold(), [0, 0, 0, FLOOD]);
});
