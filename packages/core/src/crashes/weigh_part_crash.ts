import { hadFewYoungerAnswers } from "./had_few_younger_answers.ts";
import type { ObservedCrash } from "./observed_crash.ts";

/** Weight of a crash that was likely another answer's. */
const BYSTANDER_WEIGHT = 0.25;

/** Weight of one crash against a prompt part, by when answers had started. */
export function weighPartCrash(crash: ObservedCrash): number {
  return hadFewYoungerAnswers(crash) ? 1 : BYSTANDER_WEIGHT;
}
