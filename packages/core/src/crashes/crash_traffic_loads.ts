import type { CrashTraffic } from "./crash_traffic.ts";

type Load = Omit<CrashTraffic, "seed" | "harmful" | "drawHarmless">;

/** A dozen busy servers that run some fifteen requests each. */
const BUSY: Load = {
  servers: 14,
  harmlessPerSecond: 150,
  lifetime: { least: 300, most: 3_000 },
  crashDelay: { least: 45, most: 130 },
  restartMilliseconds: 3_400,
  milliseconds: 12_000,
};

/** Short answers, a few at once. */
const LIGHT: Load = {
  ...BUSY,
  servers: 10,
  harmlessPerSecond: 40,
  lifetime: { least: 70, most: 110 },
  crashDelay: { least: 15, most: 35 },
  restartMilliseconds: 400,
};

/** Servers are back at once, which only the news of their starts shows. */
const QUICK: Load = {
  ...LIGHT,
  restartMilliseconds: 5,
  proofDelay: { least: 100, most: 1_300 },
};

/** Servers and requests of simulated traffic. */
export const CRASH_TRAFFIC_LOADS = { busy: BUSY, light: LIGHT, quick: QUICK };
