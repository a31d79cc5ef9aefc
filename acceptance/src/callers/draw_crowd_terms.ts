import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import type { Absence } from "./absence.ts";
import type { CallerTerms } from "./caller_terms.ts";

type Random = () => number;

/** A harmful end behind which a gateway may go; a day has some more. */
const LAST_END = 6;
const GATEWAYS = 4;

/**
 * Draws a day whose harmful requests come in crowds, on most days, and on which
 * gateways are away, on most others too.
 */
export function drawCrowdTerms(seed: number): CallerTerms {
  const random = createSeededRandom(hashText(`crowds ${seed}`));
  const hasCrowds = random() < 0.6;
  const least = 60 * random();
  return {
    drawCrashDelay: () => least + 40 * random(),
    harmfulPerSecond: 1 + 5 * random(),
    ...(hasCrowds && {
      crowds: {
        size: 1 + Math.floor(14 * random()),
        intervalMilliseconds: 500 + 6_000 * random(),
      },
    }),
    ...((!hasCrowds || random() < 0.6) && { absences: drawAbsences(random) }),
    ...(random() < 0.25 && { drawLeaving: () => 5 + 60 * random() }),
  };
}

/** One to three gateways, once or twice; one stays. */
function drawAbsences(random: Random): Absence[] {
  const first = 1 + Math.floor(LAST_END * random());
  const isRepeated = random() < 0.4;
  return [first, ...(isRepeated ? [first + 2] : [])].map((behindCrash) => ({
    behindCrash,
    delay: 800 * random() ** 2,
    gateways: 1 + Math.floor((GATEWAYS - 1) * random()),
    milliseconds: 500 + 8_000 * random(),
    how: random() < 0.7 ? "killed" : "frozen",
  }));
}
