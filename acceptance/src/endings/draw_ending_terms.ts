import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { drawEnding } from "./draw_ending.ts";
import type { EndingTerms } from "./ending_terms.ts";

/** The platform's own backend servers send one in 1.2 s. */
const HEARTBEATS_MILLISECONDS = [200, 1_200];

/**
 * Draws the ways in which a day's servers end: all in one, or each in another.
 */
export function drawEndingTerms(seed: number): Required<EndingTerms> {
  const random = createSeededRandom(hashText(`ending ${seed}`));
  const heartbeatMilliseconds = HEARTBEATS_MILLISECONDS[
    Math.floor(random() * HEARTBEATS_MILLISECONDS.length)
  ]!;
  const isUniform = random() < 0.5;
  const usual = drawEnding(random);
  return {
    drawEnding: () => isUniform ? usual : drawEnding(random),
    heartbeatMilliseconds,
  };
}
