import type { Blame } from "./blame.ts";

/** What an answer that came to a good end has changed. */
export type GoodEndOutcome = {
  /** Whether a part was cleared of crashes. */
  isNew: boolean;
  /** Names of the blames that were lifted. */
  lifted: string[];
  /** Blames of fewer parts that replace lifted ones. */
  narrowed: Blame[];
};
