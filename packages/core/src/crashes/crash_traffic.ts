type DrawParts = (random: () => number) => string[];
/** Milliseconds. */
type Range = { least: number; most: number };

type HarmfulKind = {
  perSecond: number;
  drawParts: DrawParts;
  /** Whether all are one request that is sent again; its parts do no harm. */
  isRepeated?: boolean;
};

/** Requests, harmless and harmful, to servers that run many at once. */
export type CrashTraffic = {
  seed: number;
  servers: number;
  harmlessPerSecond: number;
  drawHarmless: DrawParts;
  /** Of harmless answers. */
  lifetime: Range;
  /** Each kind crashes what runs it. */
  harmful: HarmfulKind[];
  /** From an answer's start to the crash. */
  crashDelay: Range;
  restartMilliseconds: number;
  /** From a crash until it is proved; none if absent. */
  proofDelay?: Range;
  /** Crashes that no request causes; `at` in milliseconds. */
  failures?: { at: number; count: number }[];
  milliseconds: number;
};
