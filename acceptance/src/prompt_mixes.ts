import type { PromptMix } from "./prompt_mix.ts";

const FIRST = "f1";
const RARE = "ab";
const HARMFUL = "bad1";
const OTHER_HARMFUL = "bad2";
const COMMON = Array.from({ length: 12 }, (_, index) => `c${index}0`);
const RARE_SHARE = 1 / 20;
const COMPANIONS = ["d1", "d2", "d3", "d4"];
/** So rare that none of their answers may have survived at a decision. */
const COMPANIONS_SHARE = 1 / 50;

type Random = () => number;

function drawCommon(random: Random): string {
  return COMMON[Math.floor(random() * COMMON.length)]!;
}

function drawHarmless(random: Random): string[] {
  return [FIRST, drawCommon(random)];
}

/** Mixes of prompts that share parts with those that crash engines. */
export const PROMPT_MIXES: readonly PromptMix[] = [
  {
    name: "first part shared",
    crashingParts: [HARMFUL],
    drawHarmless,
    drawCrashing: [() => [FIRST, HARMFUL]],
  },
  {
    name: "between common parts",
    crashingParts: [HARMFUL],
    drawHarmless: (random) => [FIRST, drawCommon(random), drawCommon(random)],
    drawCrashing: [
      (random) => [FIRST, drawCommon(random), HARMFUL, drawCommon(random)],
    ],
  },
  {
    name: "crashing part first",
    crashingParts: [HARMFUL],
    drawHarmless: (random) => [drawCommon(random), drawCommon(random)],
    drawCrashing: [(random) => [HARMFUL, drawCommon(random)]],
  },
  {
    name: "harmful later",
    crashingParts: [COMMON[0]!],
    drawHarmless: (random) => {
      const common = drawCommon(random);
      return common === COMMON[0] ? [FIRST] : [FIRST, common];
    },
    drawCrashing: [(random) => [FIRST, COMMON[0]!, drawCommon(random)]],
    crashesFromMilliseconds: 4_000,
  },
  {
    name: "behind a rare part",
    crashingParts: [HARMFUL],
    drawHarmless: (random) =>
      random() < RARE_SHARE ? [FIRST, RARE] : drawHarmless(random),
    drawCrashing: [() => [FIRST, RARE, HARMFUL]],
  },
  {
    name: "two crashing parts",
    crashingParts: [HARMFUL, OTHER_HARMFUL],
    drawHarmless,
    drawCrashing: [
      () => [FIRST, HARMFUL],
      (random) => [FIRST, drawCommon(random), OTHER_HARMFUL],
    ],
  },
  {
    name: "at one gateway only",
    crashingParts: [HARMFUL],
    drawHarmless,
    drawCrashing: [(random) => [FIRST, drawCommon(random), HARMFUL]],
    separatesGateways: true,
  },
  {
    name: "engines crash at random",
    crashingParts: [],
    drawHarmless,
    drawCrashing: [],
  },
  {
    name: "among rare companions",
    crashingParts: [HARMFUL],
    drawHarmless: (random) =>
      random() < COMPANIONS_SHARE
        ? [FIRST, ...COMPANIONS]
        : drawHarmless(random),
    drawCrashing: [() => [FIRST, ...COMPANIONS, HARMFUL]],
  },
];
