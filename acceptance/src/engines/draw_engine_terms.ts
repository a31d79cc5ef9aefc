import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { drawEnding } from "../endings/draw_ending.ts";
import type { EngineTerms } from "./engine_terms.ts";

const DAY_MILLISECONDS = 28_000;
/** Requests that all engines run at the same time without being half full. */
const ROOM = 60;
const MOST_HARMLESS_PER_SECOND = 40;
const LONGEST_FIRST_BYTE_MILLISECONDS = 1_500;
const LONGEST_CRASH_DELAY_MILLISECONDS = 3_000;
const SHORTEST_STREAM_MILLISECONDS = 100;
const LONGEST_STREAM_MILLISECONDS = 5_000;
const SHORTEST_AWAY_MILLISECONDS = 5;
const LONGEST_AWAY_MILLISECONDS = 5_000;

type Random = () => number;
/** Milliseconds. */
type Range = { least: number; most: number };

/** Draws how the engines of a day answer and end. */
export function drawEngineTerms(seed: number): EngineTerms {
  const random = createSeededRandom(hashText(`engines ${seed}`));
  const firstByte = drawRange(random, LONGEST_FIRST_BYTE_MILLISECONDS);
  const crashDelay = drawRange(random, LONGEST_CRASH_DELAY_MILLISECONDS);
  const stream = drawStreamRange(random);
  const longest = firstByte.most + stream.most;
  return {
    drawFirstByte: () => drawBetween(random, firstByte),
    drawCrashDelay: () => drawBetween(random, crashDelay),
    drawHead: drawHeads(random),
    drawStreamLength: () => drawBetween(random, stream),
    drawEnding: drawEndings(random),
    harmlessPerSecond: Math.min(
      MOST_HARMLESS_PER_SECOND,
      ROOM * 1_000 / longest,
    ),
    harmfulPerSecond: 0.5 + 4.5 * random(),
    ...(random() < 0.3 && { crowds: drawCrowds(random) }),
    routeTimeoutMilliseconds: Math.ceil(2_000 + 3 * longest),
    milliseconds: DAY_MILLISECONDS,
  };
}

/** At once on some days. */
function drawRange(random: Random, longest: number): Range {
  const least = random() < 0.3 ? 0 : 0.8 * longest * random();
  return { least, most: least + (longest - least) * random() ** 2 };
}

function drawStreamRange(random: Random): Range {
  const ratio = LONGEST_STREAM_MILLISECONDS / SHORTEST_STREAM_MILLISECONDS;
  const least = SHORTEST_STREAM_MILLISECONDS * ratio ** random();
  return {
    least,
    most: least * (LONGEST_STREAM_MILLISECONDS / least) ** random(),
  };
}

/** None on most days, all on some, or each by chance. */
function drawHeads(random: Random): () => boolean {
  const kind = random();
  const share = kind < 0.5 ? 0 : kind < 0.75 ? 1 : random();
  return () => random() < share;
}

/** All servers of a day are back in the same time, or each in its own. */
function drawEndings(random: Random): () => ReturnType<typeof drawEnding> {
  const ratio = LONGEST_AWAY_MILLISECONDS / SHORTEST_AWAY_MILLISECONDS;
  const drawAway = () => SHORTEST_AWAY_MILLISECONDS * ratio ** random();
  const usual = random() < 0.5 ? drawAway() : undefined;
  return () => ({
    ...drawEnding(random),
    restartMilliseconds: usual ?? drawAway(),
  });
}

function drawCrowds(random: Random): NonNullable<EngineTerms["crowds"]> {
  return {
    size: 1 + Math.floor(12 * random()),
    intervalMilliseconds: 500 + 6_000 * random(),
  };
}

function drawBetween(random: Random, { least, most }: Range): number {
  return least + (most - least) * random();
}
