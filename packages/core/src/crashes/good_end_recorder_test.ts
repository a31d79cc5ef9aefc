import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GoodEndNews } from "./good_end_news.ts";
import { GoodEndRecorder } from "./good_end_recorder.ts";
import { GoodEndTally } from "./good_end_tally.ts";

const RUN_MILLISECONDS = 400;
const WATCH_MILLISECONDS = 60_000;
/** Ends that are looked through when a watch begins. */
const REMEMBERED_ENDS = 1_024;
const ALL = 1_024;
const PROPERTY_RUNS = 1_000;

function record(
  recorder: GoodEndRecorder,
  endedAt: number,
  ...parts: string[]
): void {
  recorder.record({ parts, sentAt: endedAt - RUN_MILLISECONDS, endedAt });
}

function partsTold(news: GoodEndNews | undefined): string[] {
  return news?.ends.map(({ part }) => part) ?? [];
}

function startsTold(news: GoodEndNews | undefined): [string, number][] {
  return news?.starts.map(({ part, totals }) => [part, totals.count]) ?? [];
}

// Guards against a sound part that is blamed, as its answers ended between the
// crashes and the news that it is suspected.
test("a watch looks back to its time, among the ends that are remembered", () => {
  const recorder = new GoodEndRecorder();
  record(recorder, 100, "a");
  record(recorder, 300, "other");
  record(recorder, 400, "b");
  record(recorder, 500, "other");
  recorder.watch([{ part: "a", since: 200 }, { part: "b", since: 200 }], 600);
  const news = recorder.takeNews(600, ALL);
  assert.deepEqual(news?.totals, {
    count: 4,
    runMilliseconds: 4 * RUN_MILLISECONDS,
  });
  assert.deepEqual(partsTold(news), ["b"], "that of a ended before");
  assert.deepEqual(startsTold(news), [["a", 1], ["b", 3]]);
  assert.equal(recorder.takeNews(700, ALL), undefined);
});

// Guards against answers that count against a part although they ended too long
// ago to know whether some were its own.
test("ends that are forgotten are not counted since a watch began", () => {
  const recorder = new GoodEndRecorder();
  record(recorder, 100, "a");
  for (let index = 0; index < REMEMBERED_ENDS + 500; index += 1) {
    record(recorder, 200 + index, "other");
  }
  recorder.watch([{ part: "a", since: 50 }], 5_000);
  const news = recorder.takeNews(5_000, ALL);
  assert.deepEqual(partsTold(news), []);
  const [[, from]] = startsTold(news) as [[string, number]];
  assert.equal(news!.totals.count - from, REMEMBERED_ENDS);
});

// Guards against a sound part that is blamed by good ends told ahead of its own:
// whatever is recorded, watched and told in between.
test("totals never count an end of a watched part that isn't told", () => {
  const parts = ["a", "b", "c", "d", "e", "f"];
  const step = fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant("record" as const),
        parts: fc.subarray(parts),
        run: fc.integer({ min: 1, max: 900 }),
      }),
    },
    fc.record({
      kind: fc.constant("watch" as const),
      parts: fc.subarray(parts),
    }),
    fc.record({ kind: fc.constant("anew" as const) }),
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant("tell" as const),
        limit: fc.integer({ min: 1, max: 3 }),
      }),
    },
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const recorder = new GoodEndRecorder();
      const tally = new GoodEndTally();
      /** Parts of all ends, in the order in which totals count them. */
      const ends: (readonly string[])[] = [];
      const since = new Map<string, number>();
      let known = 0;
      let now = 0;
      const tell = (limit: number) => {
        const news = recorder.takeNews(now, limit);
        if (news === undefined) return;
        assert.ok(news.ends.length <= limit);
        tally.add("host", news);
        known = Math.max(known, news.totals.count);
        const latest = ends.slice(0, known).reverse();
        for (const part of parts) {
          const { count } = tally.measure(part, now);
          const without = latest.findIndex((each) => each.includes(part));
          assert.ok(
            count <= (without === -1 ? known : without),
            `an end of ${part} is counted`,
          );
        }
      };
      for (const each of steps) {
        now += 10;
        if (each.kind === "record") {
          ends.push(each.parts);
          const sentAt = now - each.run;
          recorder.record({ parts: each.parts, sentAt, endedAt: now });
        } else if (each.kind === "watch") {
          const watches = each.parts.map((part) => {
            since.set(part, since.get(part) ?? now - 100);
            return { part, since: since.get(part)! };
          });
          recorder.watch(watches, now);
          for (const part of each.parts) tally.noteWatch(part, now);
        } else if (each.kind === "anew") {
          recorder.tellAnew();
        } else {
          tell(each.limit);
        }
      }
      for (let telling = 0; telling < 12; telling += 1) tell(1);
    }),
    { numRuns: PROPERTY_RUNS },
  );
});

// Guards against a flood of watched parts of which one stays untold, and against
// counts that are told before all of them.
test("with more ends than the limit, the totals come with the last", () => {
  const recorder = new GoodEndRecorder();
  const parts = ["a", "b", "c", "d", "e"];
  recorder.watch(parts.map((part) => ({ part, since: 0 })), 10);
  recorder.takeNews(10, ALL);
  for (const part of parts) record(recorder, 100, part);
  const first = recorder.takeNews(200, 2);
  record(recorder, 210, "other");
  record(recorder, 220, "a");
  const second = recorder.takeNews(250, 2);
  const third = recorder.takeNews(300, 2);
  const fourth = recorder.takeNews(350, 2);
  const all = [first, second, third, fourth];
  assert.deepEqual(all.map((news) => news?.totals.count), [0, 0, 5, 7]);
  assert.deepEqual(all.map(partsTold), [["a", "b"], ["c", "d"], ["e"], ["a"]]);
  assert.equal(recorder.takeNews(400, 2), undefined);
});

// Guards against clearing by an answer sent earlier than one that is told.
test("of the ends of a part, the one that was sent last is told", () => {
  const recorder = new GoodEndRecorder();
  recorder.watch([{ part: "a", since: 0 }], 10);
  recorder.record({ parts: ["a"], sentAt: 50, endedAt: 200 });
  recorder.record({ parts: ["a"], sentAt: 90, endedAt: 150 });
  recorder.record({ parts: ["a"], sentAt: 20, endedAt: 300 });
  assert.deepEqual(recorder.takeNews(300, ALL)?.ends, [
    { part: "a", sentAt: 90, endedAt: 150 },
  ]);
});

// Guards against a control host that is followed anew and counts nothing, or
// counts what ended before the part's own latest answer.
test("told anew, a part starts at its latest end", () => {
  const recorder = new GoodEndRecorder();
  recorder.watch([{ part: "a", since: 0 }, { part: "b", since: 0 }], 10);
  for (const [index, part] of ["x", "x", "a", "x"].entries()) {
    record(recorder, 100 + index, part);
  }
  recorder.takeNews(200, ALL);
  assert.equal(recorder.takeNews(250, ALL), undefined);
  recorder.tellAnew();
  const news = recorder.takeNews(300, ALL);
  assert.deepEqual(startsTold(news), [["a", 3], ["b", 0]]);
  assert.equal(news?.totals.count, 4);
});

// Guards against a gateway that tells for ever of parts that nobody suspects any
// more, and against counts of the time in which it didn't look for their ends.
test("a watch ends after a minute, and begins again with what is remembered", () => {
  const recorder = new GoodEndRecorder();
  recorder.watch([{ part: "a", since: 0 }], 0);
  assert.deepEqual(startsTold(recorder.takeNews(10, ALL)), [["a", 0]]);
  const later = WATCH_MILLISECONDS + 1;
  assert.equal(recorder.takeNews(later, ALL), undefined);
  assert.equal(recorder.isWatching, false);
  record(recorder, later + 100, "a");
  record(recorder, later + 200, "other");
  assert.equal(recorder.takeNews(later + 300, ALL), undefined);
  recorder.watch([{ part: "a", since: 0 }], later + 400);
  const news = recorder.takeNews(later + 500, ALL);
  assert.deepEqual(startsTold(news), [["a", 1]]);
  assert.deepEqual(partsTold(news), ["a"]);
  assert.equal(news?.totals.count, 2);
});

// Guards against a watch that ends while hosts go on asking for it.
test("a watch that is set again goes on", () => {
  const recorder = new GoodEndRecorder();
  for (let now = 0; now <= 3 * WATCH_MILLISECONDS; now += 20_000) {
    recorder.watch([{ part: "a", since: 0 }], now);
    recorder.takeNews(now, ALL);
    assert.equal(recorder.isWatching, true);
  }
});
