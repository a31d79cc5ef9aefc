import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerVisibility } from "./answer_visibility.ts";

const LONG_AGO = -60_000;

// Guards against a harmful part that goes on crashing servers while most of the
// hosts that see answers are away.
test("one host that is there sees answers", () => {
  const answers = new AnswerVisibility();
  const watchers = [0, 1, 2, 3].map(() => answers.join(LONG_AGO, 0));
  for (const watcher of watchers.slice(1)) answers.leave(watcher);
  answers.hear(watchers[0]!, 1_900);
  const seen = { untilNow: 1_000, untilHeard: 900 };
  assert.deepEqual(answers.measure(1_000, 2_000), seen);
});

// Guards against blaming what all requests share, as nobody is there to tell of
// answers that survive.
test("hosts that are gone, silent or new see no answers", () => {
  const answers = new AnswerVisibility();
  assert.ok(answers.measure(0, 5_000).untilNow < 0, "none");
  const watcher = answers.join(LONG_AGO, 0);
  assert.ok(answers.measure(0, 2_100).untilNow < 0, "silent for 2.1 s");
  answers.hear(watcher, 3_000);
  assert.equal(answers.measure(0, 4_000).untilNow, 1_000, "anew");
  answers.leave(watcher);
  answers.join(5_000, 5_000);
  assert.ok(answers.measure(0, 6_400).untilNow <= 0, "just started");
});

// Guards against a host that is believed to see answers behind its last word.
test("what a host has seen is known until its last word", () => {
  const answers = new AnswerVisibility();
  const watcher = answers.join(LONG_AGO, 0);
  answers.hear(watcher, 1_200);
  assert.equal(answers.measure(1_000, 3_000).untilHeard, 200);
});

// Guards against blaming what all requests share while no server can answer, and
// against a guard that begins anew each time.
test("time in which nobody can answer doesn't count, and the rest is kept", () => {
  const answers = new AnswerVisibility();
  const watcher = answers.join(LONG_AGO, 0);
  const measure = (now: number) => {
    answers.hear(watcher, now);
    return answers.measure(0, now).untilNow;
  };
  answers.recordServing(false, 500);
  assert.equal(measure(1_500), 500);
  answers.recordServing(true, 2_000);
  assert.equal(measure(2_300), 800);
  answers.recordServing(false, 2_500);
  answers.recordSurvival(watcher, 2_400, 2_700);
  assert.equal(measure(2_900), 1_000, "the answer began before");
  answers.recordSurvival(watcher, 2_600, 3_000);
  assert.equal(measure(3_100), 1_100, "some server answers");
});
