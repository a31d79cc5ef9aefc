import type { Blame } from "./blame.ts";

/** What a surviving answer has changed. */
export type SurvivalOutcome = {
  /** Whether a part was cleared of crashes. */
  isNew: boolean;
  /** Names of the blames that were lifted. */
  lifted: string[];
  /** Blames of fewer parts that replace lifted ones. */
  narrowed: Blame[];
};
