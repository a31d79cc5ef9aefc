import type { Problem } from "../../http/problem.ts";
import type { UnrepeatableAnswer } from "./unrepeatable_answer.ts";

/** What is known of a call that may not be repeated. */
export type UnrepeatableOutcome =
  | { kind: "answered"; answer: UnrepeatableAnswer }
  | { kind: "failed"; problem: Problem }
  /** It surely did not run: it may be claimed anew. */
  | { kind: "not-run"; problem: Problem };
