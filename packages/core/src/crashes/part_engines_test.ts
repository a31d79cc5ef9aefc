import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { hashText } from "../random/hash_text.ts";
import { countLateArrivals } from "./count_late_arrivals.ts";
import type { CrashTraffic } from "./crash_traffic.ts";
import { CrashTrafficRun } from "./crash_traffic_fixture.ts";
import type { CrashTrafficResult } from "./crash_traffic_result.ts";

/** More are run by hand. */
const SEEDS = Array.from(
  { length: Number(process.env["PART_ENGINES_SEEDS"] ?? 20) },
  (_, index) => index + 1,
);
const COMMON_PARTS = 12;
const HARMFUL = "bad";
const MAX_LATE_ARRIVALS = 3;
const MIN_SERVED_SHARE = 0.9;
const MILLISECONDS = 40_000;
const DECISIVE_CRASH = 5;
/** From the fifth end until sound requests are served as ever. */
const RECOVERY_MILLISECONDS = 6_000;
const LONGEST = { firstByte: 1_500, crashDelay: 3_000 };
const SHORTEST_LIFETIME = 100;
const LONGEST_LIFETIME = 5_000;
const SHORTEST_AWAY = 5;
const LONGEST_AWAY = 5_000;

type Random = () => number;
type Harmful = CrashTraffic["harmful"][number];
/** Milliseconds. */
type Range = CrashTraffic["lifetime"];

function choose<Value>(random: Random, values: readonly Value[]): Value {
  return values[Math.floor(random() * values.length)]!;
}

function common(random: Random): string {
  return `common-${Math.floor(random() * COMMON_PARTS)}`;
}

function drawHarmless(random: Random): string[] {
  return ["first", common(random), `rare-${Math.floor(random() * 400)}`];
}

function drawPrompt(random: Random): Harmful["drawParts"] {
  return choose<Harmful["drawParts"]>(random, [
    () => ["first", HARMFUL],
    (drawn) => ["first", common(drawn), HARMFUL, common(drawn)],
    (drawn) => [HARMFUL, common(drawn)],
    () => ["first", "rare-1", HARMFUL],
  ]);
}

/** Small and large ones are as likely. */
function drawByRatio(random: Random, least: number, most: number): number {
  return least * (most / least) ** random();
}

/** Nothing at all in some. */
function drawRange(random: Random, longest: number): Range {
  const least = random() < 0.3 ? 0 : 0.8 * longest * random();
  return { least, most: least + (longest - least) * random() ** 2 };
}

function drawLifetime(random: Random): Range {
  const least = drawByRatio(random, SHORTEST_LIFETIME, LONGEST_LIFETIME);
  return { least, most: drawByRatio(random, least, LONGEST_LIFETIME) };
}

/** Servers whose slots are mostly free, or nearly all taken. */
function drawEngines(seed: number): Omit<CrashTraffic, "harmful"> {
  const random = createSeededRandom(hashText(`engines ${seed}`));
  const servers = 8 + Math.floor(7 * random());
  const harmlessPerSecond = drawByRatio(random, 4, 150);
  const firstByte = drawRange(random, LONGEST.firstByte);
  const lifetime = drawLifetime(random);
  const seconds = (meanOf(firstByte) + meanOf(lifetime)) / 1_000;
  const taken = 0.1 + 0.7 * random();
  return {
    seed,
    servers,
    harmlessPerSecond,
    drawHarmless,
    slots: Math.ceil(harmlessPerSecond * seconds / (servers * taken)),
    firstByte,
    lifetime,
    crashDelay: drawRange(random, LONGEST.crashDelay),
    restartMilliseconds: drawByRatio(random, SHORTEST_AWAY, LONGEST_AWAY),
    ...(random() < 0.3 && { proofDelay: { least: 100, most: 1_300 } }),
    gateways: 1 + Math.floor(6 * random()),
    milliseconds: MILLISECONDS,
  };
}

function meanOf({ least, most }: Range): number {
  return (least + most) / 2;
}

/** One after the other, or in crowds; no answer begins, or some, or all. */
function drawHarmful(seed: number): Harmful {
  const random = createSeededRandom(hashText(`harmful ${seed}`));
  const size = 1 + Math.floor(12 * random());
  const gap = 500 + 6_000 * random();
  return {
    drawParts: drawPrompt(random),
    headShare: choose(random, [0, 0, 1, random()]),
    isWriting: random() < 0.5,
    ...(random() < 0.6
      ? { perSecond: 0.5 + 4.5 * random() }
      : { perSecond: 0, crowd: { size, gap: { least: gap, most: 2 * gap } } }),
  };
}

/** Of the harmless requests sent within a time, the share that was served. */
function findServedShare(
  { harmless }: CrashTrafficResult,
  { from, to }: { from: number; to: number },
): number {
  const judged = harmless.filter(({ at }) => at >= from && at < to);
  const served = judged.filter(({ isServed }) => isServed).length;
  return judged.length === 0 ? 1 : served / judged.length;
}

function findFaults(seed: number): string[] {
  const engines = drawEngines(seed);
  const harmful = drawHarmful(seed);
  const result = new CrashTrafficRun({ ...engines, harmful: [harmful] }).run();
  const [crashes] = result.crashes;
  const late = countLateArrivals(result, result.heardCrashes);
  const refused = result.harmless.filter(({ isRefused }) => isRefused);
  const unrefused = 1 - refused.length / result.harmless.length;
  const decisiveAt = crashes![DECISIVE_CRASH - 1] ?? crashes!.at(-1) ?? 0;
  const judged = {
    from: decisiveAt + RECOVERY_MILLISECONDS,
    to: MILLISECONDS - 2 * (engines.firstByte!.most + engines.lifetime.most),
  };
  const sound = new CrashTrafficRun({ ...engines, harmful: [] }).run();
  const served = findServedShare(result, judged);
  const least = MIN_SERVED_SHARE * findServedShare(sound, judged);
  const what = `seed ${seed}: ${crashes!.length} ends, ${
    result.blames.join(" ")
  }`;
  return [
    ...(late > MAX_LATE_ARRIVALS ? [`${what}; ${late} late`] : []),
    ...(unrefused < MIN_SERVED_SHARE
      ? [`${what}; ${unrefused} not refused`]
      : []),
    ...(served < least ? [`${what}; ${served} served, ${least} at least`] : []),
  ];
}

// Guards against a harmful part that is never found, as its servers end before
// the first byte of an answer or seconds behind it.
test("a harmful part is found whatever its answers show, and whenever they end", () => {
  assert.deepEqual(SEEDS.flatMap(findFaults), []);
});
