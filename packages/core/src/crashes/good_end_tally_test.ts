import assert from "node:assert/strict";
import { test } from "node:test";
import type { GoodEnd } from "./good_end.ts";
import { GoodEndTally } from "./good_end_tally.ts";

/** Hosts go on watching for longer. */
const WATCHED_MILLISECONDS = 50_000;
const RUN_MILLISECONDS = 400;

function totals(count: number) {
  return { count, runMilliseconds: count * RUN_MILLISECONDS };
}

function end(part: string): GoodEnd {
  return { part, sentAt: 0, endedAt: RUN_MILLISECONDS };
}

type Told = { count: number; start?: number; ends?: string[] };

function tell(
  tally: GoodEndTally,
  source: string,
  { count, start, ends = [] }: Told,
): void {
  tally.add(source, {
    totals: totals(count),
    starts: start === undefined ? [] : [{ part: "a", totals: totals(start) }],
    ends: ends.map(end),
  });
}

/** A tally whose hosts were told at 0 to watch part a. */
function openTally(): GoodEndTally {
  const tally = new GoodEndTally();
  tally.noteWatch("a", 0);
  return tally;
}

function countOf(tally: GoodEndTally, now = 1_000): number {
  return tally.measure("a", now).count;
}

// Guards against counts that leave out the hosts of other data centres, and
// against answers from before the watch.
test("ends without the part are summed over hosts since their watches", () => {
  const tally = openTally();
  tell(tally, "one", { count: 1_000, start: 990 });
  tell(tally, "two", { count: 50, start: 50 });
  tell(tally, "two", { count: 70 });
  tell(tally, "unwatching", { count: 400 });
  assert.deepEqual(tally.measure("a", 1_000), totals(30));
  assert.deepEqual(tally.measure("b", 1_000), totals(0));
});

// Guards against a sound part that is blamed by what other hosts had counted
// before its latest good end.
test("a good end resets the counts of all hosts", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  tell(tally, "two", { count: 60, start: 0 });
  assert.equal(countOf(tally), 100);
  tell(tally, "one", { count: 50, ends: ["a"] });
  assert.equal(countOf(tally), 0);
  tell(tally, "two", { count: 65 });
  assert.equal(countOf(tally), 5);
  tally.noteEnd("a");
  assert.equal(countOf(tally), 0);
});

// Guards against hosts that hear of other answers, and blame a part of which they
// were told one good end and no further one; and against telling them of each.
test("hosts that hear of other answers are told of good ends again and again", () => {
  const tally = openTally();
  const told = [0, 100, 199, 200, 350, 400].filter((endedAt) =>
    tally.noteEnd("a", endedAt)
  );
  assert.deepEqual(told, [0, 200, 400]);
  assert.equal(tally.noteEnd("b", 250), true);
});

// Guards against counts that are told behind the ends they hold, and then speak
// against these ends' parts.
test("ends that are told ahead of their totals count with them", () => {
  const tally = openTally();
  tell(tally, "one", { count: 10, start: 0 });
  tell(tally, "one", { count: 0, ends: ["a", "b"] });
  assert.equal(countOf(tally), 0);
  tell(tally, "one", { count: 0, ends: ["c"] });
  tell(tally, "one", { count: 300, ends: ["d"] });
  assert.equal(countOf(tally), 0, "the end is among the 300");
  tell(tally, "one", { count: 320 });
  assert.equal(countOf(tally), 20);
});

// Guards against the word of a gateway that is killed, and against the loss of
// what others have counted.
test("what a host that is gone had counted is forgotten", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  tell(tally, "two", { count: 60, start: 0 });
  tally.forget("one");
  assert.equal(countOf(tally), 60);
  tell(tally, "one", { count: 45 });
  assert.equal(countOf(tally), 60, "what it tells late");
  tally.forget("two");
  assert.equal(countOf(tally), 0);
});

// Guards against a gateway that starts anew, whose counts begin again.
test("a host that starts anew counts from its own start", () => {
  const tally = openTally();
  tell(tally, "one-1", { count: 4_000, start: 3_960 });
  tally.forget("one-1");
  tell(tally, "one-2", { count: 5, start: 2 });
  assert.equal(countOf(tally), 3);
});

// Guards against a gateway that follows again behind a cut, and whose answers
// of the time between would count for none or twice.
test("a host that is dropped and tells anew counts from its start", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  tally.forget("one");
  tell(tally, "one", { count: 90, start: 30 });
  assert.equal(countOf(tally), 60);
  tell(tally, "one", { count: 95, start: 10 });
  assert.equal(countOf(tally), 65, "an earlier start adds nothing");
});

// Guards against a host that is believed to watch behind its last word, and
// against a harmful part that goes free as one host falls silent.
test("what a silent host has counted stands, and doesn't grow", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  assert.equal(countOf(tally, 0), 40);
  assert.equal(countOf(tally, 30_000), 40);
});

// Guards against counts of a time in which hosts don't watch any more.
test("counts end fifty seconds behind the last watch", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  assert.equal(countOf(tally, WATCHED_MILLISECONDS), 40);
  assert.equal(countOf(tally, WATCHED_MILLISECONDS + 1), 0);
  const unwatched = new GoodEndTally();
  tell(unwatched, "one", { count: 40, start: 0 });
  assert.equal(countOf(unwatched), 0);
});

// Guards against counts of a time in which hosts didn't watch, between a watch
// and the next, before they tell that the next has begun.
test("a watch that begins again counts once hosts tell of it", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  const later = 3 * WATCHED_MILLISECONDS;
  tell(tally, "one", { count: 500 });
  tally.noteWatch("a", later);
  assert.ok(countOf(tally, later) <= 40, "500 ended unwatched");
  tell(tally, "one", { count: 520, start: 510 });
  assert.equal(countOf(tally, later + 100), 10);
});

// Guards against a late start that brings back answers from before a good end.
test("a start behind a good end counts from what is told with it", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  tell(tally, "one", { count: 50, ends: ["a"] });
  tell(tally, "late", { count: 900, start: 100 });
  assert.equal(countOf(tally), 0);
  tell(tally, "late", { count: 910 });
  tell(tally, "one", { count: 55, start: 20 });
  assert.equal(countOf(tally), 15);
});

// Guards against counts that fall as what a host tells comes in another order.
test("totals that are told late take nothing back", () => {
  const tally = openTally();
  tell(tally, "one", { count: 10, start: 10 });
  tell(tally, "one", { count: 60 });
  tell(tally, "one", { count: 30 });
  assert.equal(countOf(tally), 50);
  tell(tally, "one", { count: 70 });
  assert.equal(countOf(tally), 60);
});

// Guards against a flood of parts that exhausts a host's memory, and loses the
// part that is watched.
test("a flood of parts leaves one that is watched again and again", () => {
  const tally = openTally();
  tell(tally, "one", { count: 40, start: 0 });
  for (let index = 0; index < 10_000; index += 1) {
    tally.noteEnd(`flood-${index}`);
    if (index % 500 === 0) tally.noteWatch("a", 10);
  }
  assert.equal(countOf(tally), 40);
});
