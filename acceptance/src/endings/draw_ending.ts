import type { ServerEnding } from "./server_ending.ts";

/** A supervisor starts a process again within some milliseconds. */
const QUICK_MILLISECONDS = 10;
const USUAL_MILLISECONDS = 600;
const SLOW_MILLISECONDS = 2_500;
const QUICK_SHARE = 0.5;
const USUAL_SHARE = 0.85;

/** Draws one of many ways in which a process ends under a supervisor. */
export function drawEnding(random: () => number): ServerEnding {
  const port = (["refuses", "closes", "answers"] as const)[
    Math.floor(random() * 3)
  ]!;
  return {
    restartMilliseconds: drawRestartMilliseconds(random),
    port,
    breakEnd: random() < 0.5 ? "close" : "reset",
    keepsName: random() < 0.5,
  };
}

function drawRestartMilliseconds(random: () => number): number {
  const draw = random();
  if (draw < QUICK_SHARE) return QUICK_MILLISECONDS * random();
  if (draw < USUAL_SHARE) return USUAL_MILLISECONDS * random();
  return SLOW_MILLISECONDS * random();
}
