import type { SurvivalThresholds } from "./survival_thresholds.ts";

/** A suspected prompt part, for hosts that see answers to requests with it. */
export type PartWatch = {
  part: string;
  /** Only answers that started later count, monotonic milliseconds. */
  since: number;
  thresholds: SurvivalThresholds;
};
