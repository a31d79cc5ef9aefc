import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { drawEnding } from "../endings/draw_ending.ts";
import type { SlowEngineTerms } from "./slow_engine_terms.ts";

const SHORTEST_FIRST_BYTE_MILLISECONDS = 150;
const LONGEST_FIRST_BYTE_MILLISECONDS = 1_500;
const SHORTEST_INTERVAL_MILLISECONDS = 10;
const LONGEST_INTERVAL_MILLISECONDS = 300;
const LONGEST_CRASH_DELAY_MILLISECONDS = 3_000;
const SHORTEST_AWAY_MILLISECONDS = 5;
const LONGEST_AWAY_MILLISECONDS = 5_000;
const ROUTE_TIMEOUT_MILLISECONDS = 6_000;
const MEAN_EVENTS = 14;
/** At the usual rates this leaves half of the places free. */
const ROOM_MILLISECONDS = { stream: 960, plain: 200 };

type Random = () => number;

/**
 * Draws how the servers of a day answer and end: engines take their time until
 * the first byte, and end without one on most days.
 */
export function drawSlowEngineTerms(seed: number): SlowEngineTerms {
  const random = createSeededRandom(hashText(`slow engines ${seed}`));
  const least = drawBetween(
    random,
    SHORTEST_FIRST_BYTE_MILLISECONDS,
    LONGEST_FIRST_BYTE_MILLISECONDS,
  );
  const most = drawBetween(random, least, LONGEST_FIRST_BYTE_MILLISECONDS);
  const eventIntervalMilliseconds = drawEvenly(
    random,
    SHORTEST_INTERVAL_MILLISECONDS,
    LONGEST_INTERVAL_MILLISECONDS,
  );
  const firstByte = (least + most) / 2;
  const stream = firstByte + MEAN_EVENTS * eventIntervalMilliseconds;
  const headShare = Math.max(0, 2 * random() - 1);
  const isLate = random() < 0.3;
  return {
    drawFirstByte: () => drawBetween(random, least, most),
    drawHead: () => random() < headShare,
    drawCrashDelay: () =>
      isLate ? LONGEST_CRASH_DELAY_MILLISECONDS * random() : 0,
    drawEnding: drawEndings(random),
    routeTimeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
    eventIntervalMilliseconds,
    streamShare: Math.min(1, ROOM_MILLISECONDS.stream / stream),
    plainShare: Math.min(1, ROOM_MILLISECONDS.plain / firstByte),
  };
}

/** All servers of a day are back in the same time, or each in its own. */
function drawEndings(random: Random): SlowEngineTerms["drawEnding"] {
  const drawAway = () =>
    drawEvenly(random, SHORTEST_AWAY_MILLISECONDS, LONGEST_AWAY_MILLISECONDS);
  const usual = random() < 0.5 ? drawAway() : undefined;
  return () => ({
    ...drawEnding(random),
    restartMilliseconds: usual ?? drawAway(),
  });
}

function drawBetween(random: Random, least: number, most: number): number {
  return least + (most - least) * random();
}

/** As often between 10 and 20 as between 100 and 200. */
function drawEvenly(random: Random, least: number, most: number): number {
  return least * (most / least) ** random();
}
