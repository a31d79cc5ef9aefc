import type { Problem } from "../../http/problem.ts";
import type { UnrepeatableAnswer } from "./unrepeatable_answer.ts";

/** The outcome of a call that may not be repeated, as far as known. */
export type UnrepeatableOutcome =
  | { kind: "answered"; answer: UnrepeatableAnswer }
  | { kind: "failed"; problem: Problem }
  /** The call certainly did not run, so it may be claimed again. */
  | { kind: "not-run"; problem: Problem };
