type DrawParts = (random: () => number) => string[];
/** Milliseconds. */
type Range = { least: number; most: number };

type HarmfulKind = {
  perSecond: number;
  drawParts: DrawParts;
  /** How many come at once, and the time from one crowd to the next. */
  crowd?: { size: number; gap: Range };
  /** Whether all are one request that is sent again; its parts do no harm. */
  isRepeated?: boolean;
  /**
   * Behind a failure its caller sends the same request again, at any gateway, up
   * to so many times.
   */
  repeats?: { most: number; delay: Range };
  /** From sending until its caller leaves; by default it stays. */
  leaving?: Range;
  /** Share whose answers begin before the crash; by default all. */
  headShare?: number;
  /** Whether answers that have begun are seen to go on until the crash. */
  isWriting?: boolean;
  /** Until when it is sent, milliseconds; by default always. */
  until?: number;
};

/** Requests, harmless and harmful, to servers that run many at once. */
export type CrashTraffic = {
  seed: number;
  servers: number;
  harmlessPerSecond: number;
  drawHarmless: DrawParts;
  /**
   * Requests that each server runs at the same time; more wait there. By default
   * without a limit.
   */
  slots?: number;
  /** From when a server starts on a request to its first byte; by default none. */
  firstByte?: Range;
  /** Of harmless answers, from their first byte on. */
  lifetime: Range;
  /** Each kind crashes what runs it. */
  harmful: HarmfulKind[];
  /** From an answer's first byte, or when it would have come, to the crash. */
  crashDelay: Range;
  restartMilliseconds: number;
  /** From a crash until it is proved; none if absent. */
  proofDelay?: Range;
  /** Harmless requests whose callers leave, and when they do. */
  harmlessLeaving?: { share: number; after: Range };
  /** By default one. */
  gateways?: number;
  /**
   * The crashes caused by requests behind which all gateways lose power, counted
   * from 1, and how long behind them; by default with all control hosts.
   */
  powerLoss?: {
    behindCrashes: number[];
    delay: Range;
    isOfGatewaysOnly?: boolean;
  };
  /**
   * Gateways that are away behind a harmful crash, counted from 1; requests go to
   * the others meanwhile. Who is `killed` loses what it knows, who is `frozen`
   * tells it later, who is `silent` is killed without a word, and who has `moved`
   * begins to follow another control host.
   */
  absences?: {
    behindCrash: number;
    gateways: number[];
    milliseconds: number;
    how: "killed" | "frozen" | "silent" | "moved";
  }[];
  /** All callers of harmless requests leave at these times, milliseconds. */
  storms?: number[];
  /** Crashes that no request causes; `at` in milliseconds. */
  failures?: { at: number; count: number }[];
  milliseconds: number;
};
