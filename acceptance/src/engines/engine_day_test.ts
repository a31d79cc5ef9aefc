import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PartDay } from "../part_day.ts";
import type { EngineTerms } from "./engine_terms.ts";

/** A harmful part between common ones. */
const SEED = 1;
const LONG_AWAY_MILLISECONDS = 4_000;

const random = createSeededRandom(SEED);

/** Engines that take their time, as answers of sound requests show. */
const SLOW_ENGINES: EngineTerms = {
  drawFirstByte: () => 150 + 300 * random(),
  drawStreamLength: () => 600,
  drawHead: () => false,
  drawCrashDelay: () => 0,
  harmfulPerSecond: 2,
};

async function play(terms: EngineTerms) {
  const day = await new PartDay(SEED, terms).run();
  console.log(JSON.stringify(day));
  return day;
}

// Guards against a blame of sound requests, or a lack of room, where engines take
// their time to begin.
test("sound requests are served by engines that begin late", async () => {
  const day = await play({ ...SLOW_ENGINES, harmfulPerSecond: 0 });
  assert.deepEqual(day.faults, []);
  assert.equal(day.crashes, 0);
  assert.ok(day.harmless.sent > 0);
});

// Guards against a harmful part that is never found, as no byte of an answer
// tells that its requests had begun.
test("a harmful part is refused though engines end before any byte", async () => {
  const day = await play(SLOW_ENGINES);
  assert.deepEqual(day.faults, []);
});

// Guards against the same where each end takes an engine away for seconds.
test("a harmful part is refused though engines end before any byte, for long", async () => {
  const day = await play({
    ...SLOW_ENGINES,
    drawEnding: () => ({
      restartMilliseconds: LONG_AWAY_MILLISECONDS,
      port: "refuses",
      breakEnd: "close",
      keepsName: false,
    }),
  });
  assert.deepEqual(day.faults, []);
});

// Guards against a harmful part that clears itself, as its answers write for
// seconds before they end their engines.
test("a harmful part is refused though engines end seconds behind the head", async () => {
  const day = await play({
    ...SLOW_ENGINES,
    drawFirstByte: () => 0,
    drawHead: () => true,
    drawCrashDelay: () => 2_000,
    harmfulPerSecond: 5,
  });
  assert.deepEqual(day.faults, []);
});
