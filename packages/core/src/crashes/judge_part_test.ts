import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import { judgePart } from "./judge_part.ts";

const RUN_MILLISECONDS = 1_000;
const RUNS_PER_CRASH = 12;
const NONE = { count: 0, runMilliseconds: 0 };

function totals(count: number, milliseconds = RUN_MILLISECONDS) {
  return { count, runMilliseconds: count * milliseconds };
}

/**
 * Evidence on a part that one request holds at each of the crashes, sent as long
 * before as another there on each side, or the last of all.
 */
function gather(crashTimes: number[], { isYoungest = false } = {}) {
  const evidence = new CrashEvidence("part");
  for (const [index, at] of crashTimes.entries()) {
    const ages = Array.from(
      { length: RUNS_PER_CRASH },
      (_, run) =>
        [
          `run-${index}-${run}`,
          RUN_MILLISECONDS * run / RUNS_PER_CRASH,
        ] as const,
    );
    const [fingerprint, sentMilliseconds] =
      ages[isYoungest ? 0 : RUNS_PER_CRASH / 2]!;
    evidence.add(
      {
        fingerprint,
        incarnation: `server-${index}`,
        begunMilliseconds: undefined,
        sentMilliseconds,
      },
      {
        at,
        knownAt: at,
        sentMilliseconds: new Map(ages),
        hasParts: true,
        youngest: [],
      },
      at,
    );
  }
  return evidence;
}

type Terms = {
  evidence: CrashEvidence;
  allCrashes: number;
  good?: { count: number; runMilliseconds: number };
  running?: { count: number; runMilliseconds: number };
  now?: number;
};

function judge(
  { evidence, allCrashes, good = NONE, running = NONE, now = 1_000 }: Terms,
) {
  return judgePart({
    evidence,
    since: { crashes: allCrashes, requests: allCrashes * RUNS_PER_CRASH },
    goodEnds: good,
    running,
    now,
  });
}

/** The fewest good ends at which the part is guilty, in hundreds. */
function findNeeded(terms: Terms): number {
  for (let count = 0; count <= 100_000; count += 100) {
    if (judge({ ...terms, good: totals(count) }).isGuilty) return count;
  }
  return Infinity;
}

// Guards against a part that is blamed for two crashes, however much ends well.
test("fewer than three crashes blame no part", () => {
  for (const times of [[], [0], [0, 300]]) {
    const terms = { evidence: gather(times), allCrashes: times.length };
    const verdict = judge({ ...terms, good: totals(1e6), now: 60_000 });
    assert.equal(verdict.isGuilty, false);
  }
});

// Guards against blaming what all requests share while nobody can answer.
test("without good ends no part is blamed, however long and at any crashes", () => {
  for (let crashes = 3; crashes <= 64; crashes += 1) {
    const times = Array.from({ length: crashes }, (_, index) => index * 300);
    const evidence = gather(times, { isYoungest: crashes % 2 === 0 });
    const verdict = judge({ evidence, allCrashes: crashes, now: 600_000 });
    if (crashes % 2 === 1) assert.equal(verdict.likelihood, 1);
    assert.equal(verdict.isGuilty, false, `${crashes} crashes`);
  }
});

// Guards against answers that run for long and are at more crashes for each good
// end, and seem rare among these.
test("a part of longer answers needs more good ends", () => {
  const evidence = gather([0, 300, 600]);
  const needed = findNeeded({ evidence, allCrashes: 3 });
  assert.ok(needed < Infinity);
  const short = totals(needed, RUN_MILLISECONDS / 10);
  assert.equal(judge({ evidence, allCrashes: 3, good: short }).isGuilty, false);
});

// Guards against a part that is blamed for what others crash.
test("a part at few of all crashes needs more good ends", () => {
  const evidence = gather([0, 300, 600]);
  const needed = [3, 6, 12].map((allCrashes) =>
    findNeeded({ evidence, allCrashes })
  );
  assert.ok(needed[0]! < needed[1]! && needed[1]! < needed[2]!, `${needed}`);
});

// Guards against a harmful part that waits for answers to end, where they run for
// minutes: those that run well decide, if none of them holds the part.
test("answers that run well decide as good ends do, whichever are sooner", () => {
  const evidence = gather([0, 300, 600]);
  const needed = findNeeded({ evidence, allCrashes: 3 });
  const some = totals(needed);
  const few = totals(10);
  const terms = { evidence, allCrashes: 3 };
  assert.equal(judge({ ...terms, good: few, running: some }).isGuilty, true);
  assert.equal(judge({ ...terms, good: some, running: few }).isGuilty, true);
  assert.equal(judge({ ...terms, good: few, running: few }).isGuilty, false);
});

// Guards against a harmful part that crashes on and on where little is answered:
// behind five crashes a decision is due, and not before hosts could tell.
test("from two seconds behind the fifth crash on, less evidence decides", () => {
  const evidence = gather([0, 300, 600, 900, 1_200]);
  const terms = { evidence, allCrashes: 5 };
  const soon = findNeeded({ ...terms, now: 3_100 });
  const late = findNeeded({ ...terms, now: 3_200 });
  assert.ok(late < soon && late > 0, `${late}, ${soon}`);
  const four = { evidence: gather([0, 300, 600, 900]), allCrashes: 4 };
  assert.equal(
    findNeeded({ ...four, now: 60_000 }),
    findNeeded({ ...four, now: 1_000 }),
  );
});

// Guards against evidence that is left out: the youngest requests there are the
// likeliest to have crashed their servers.
test("a part whose requests are the youngest needs fewer good ends", () => {
  const times = [0, 300, 600];
  const old = findNeeded({ evidence: gather(times), allCrashes: 3 });
  const young = findNeeded({
    evidence: gather(times, { isYoungest: true }),
    allCrashes: 3,
  });
  assert.ok(young < old, `${young}, ${old}`);
});

type Draw = { share: number; crashShare: number; steps: number };

/**
 * Whether a harmless part with that share of all runs is blamed at some time, in
 * a row of crashes and good ends of as many runs as a crash breaks off.
 */
function isBlamedInVain(
  random: () => number,
  { share, crashShare, steps }: Draw,
): boolean {
  const holds = () => random() < 1 - (1 - share) ** RUNS_PER_CRASH;
  let times: number[] = [];
  let allCrashes = 0;
  let groups = 0;
  for (let step = 0; step < steps; step += 1) {
    const now = step * 300;
    if (random() >= crashShare) {
      groups += 1;
      if (!holds()) continue;
      [times, allCrashes, groups] = [[], 0, 0];
    } else {
      if (times.length > 0) allCrashes += 1;
      if (!holds()) continue;
      if (times.length === 0) [allCrashes, groups] = [1, 0];
      times.push(now);
    }
    if (times.length < 3) continue;
    const terms = { evidence: gather(times), allCrashes, now };
    const good = totals(groups * RUNS_PER_CRASH);
    if (judge({ ...terms, good }).isGuilty) return true;
  }
  return false;
}

// Guards against blames in vain of some of the dozens of parts that harmless
// requests share, while servers fail again and again.
test("drawn harmless parts are hardly ever blamed", () => {
  const random = createSeededRandom(1);
  let blamed = 0;
  const ROWS = 300;
  for (let row = 0; row < ROWS; row += 1) {
    const share = 0.001 * 100 ** random();
    const crashShare = 0.01 * 50 ** random();
    if (isBlamedInVain(random, { share, crashShare, steps: 200 })) blamed += 1;
  }
  assert.ok(blamed <= ROWS / 100, `${blamed} of ${ROWS} were blamed`);
});

// Guards against a harmful part that hides among what fails by itself.
test("drawn harmful parts are blamed while others fail as well", () => {
  const random = createSeededRandom(2);
  for (let row = 0; row < 100; row += 1) {
    const times: number[] = [];
    let allCrashes = 0;
    let groups = 0;
    let isGuilty = false;
    for (let step = 0; step < 200 && !isGuilty; step += 1) {
      const now = step * 300;
      if (random() < 0.2) times.push(now);
      else groups += 1;
      if (times.at(-1) === now || random() < 0.05) allCrashes += 1;
      if (times.length < 3) continue;
      const terms = { evidence: gather(times), allCrashes, now };
      const good = totals(groups * RUNS_PER_CRASH);
      isGuilty = judge({ ...terms, good }).isGuilty;
    }
    assert.ok(isGuilty, `row ${row}`);
    assert.ok(times.length <= 12, `${times.length} crashes in row ${row}`);
  }
});

// Guards against a rare part of which a few servers of a rack held one request
// each as they failed together, and that nobody asks for again.
test("fewer than five crashes of one moment blame no part", () => {
  const good = totals(100_000);
  for (const count of [3, 4]) {
    const evidence = gather(Array.from({ length: count }, (_, index) => index));
    assert.equal(judge({ evidence, allCrashes: 12, good }).isGuilty, false);
  }
  const apart = gather([0, 500, 1_000]);
  assert.equal(judge({ evidence: apart, allCrashes: 3, good }).isGuilty, true);
});
