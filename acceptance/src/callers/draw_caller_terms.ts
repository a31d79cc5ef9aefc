import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import type { CallerTerms } from "./caller_terms.ts";
import type { PowerLoss } from "./power_loss.ts";

type Random = () => number;

const HOSTS: PowerLoss["hosts"][] = ["all", "control", "gateways"];

/** Draws how callers of harmful requests behave on a day, and who loses power. */
export function drawCallerTerms(seed: number): CallerTerms {
  const random = createSeededRandom(hashText(`callers ${seed}`));
  return {
    harmfulPerSecond: 1 + 5 * random(),
    drawCrashDelay: drawCrashDelays(random),
    ...(random() < 0.5 && { drawLeaving: drawLeavings(random) }),
    ...(random() < 0.5 && drawRepeats(random)),
    ...(random() < 0.5 && { powerLosses: drawPowerLosses(random) }),
  };
}

/** As an answer begins, on most days; on some up to half a second later. */
function drawCrashDelays(random: Random): () => number {
  const least = 100 * random();
  const spread = random() < 0.75 ? 50 : 400;
  return () => least + spread * random();
}

/** Before the answer begins, in it, or behind it; some stay. */
function drawLeavings(random: Random): () => number | undefined {
  const share = 0.3 + 0.7 * random();
  const most = random() < 0.5 ? 40 : 300;
  return () => random() < share ? 1 + most * random() : undefined;
}

function drawRepeats(random: Random): CallerTerms {
  const most = random() < 0.5 ? 50 : 2_000;
  return {
    repeats: 1 + Math.floor(4 * random()),
    drawRepeatDelay: () => most * random(),
  };
}

function drawPowerLosses(random: Random): PowerLoss[] {
  const hosts = HOSTS[Math.floor(random() * HOSTS.length)]!;
  const first = 1 + Math.floor(5 * random());
  const isRepeated = random() < 0.3;
  return [first, ...(isRepeated ? [first + 2] : [])].map((behindCrash) => ({
    behindCrash,
    delay: 1_500 * random() ** 2,
    hosts,
  }));
}
