import type { AnswerFacts } from "@teaselrouter/core/gateway/answer_facts.ts";
import type { IncomingMessage } from "node:http";

/** What became of sending a request to one backend server. */
export type AttemptOutcome =
  /** The head of an answer; its body is still to be read. */
  | { kind: "answer"; message: IncomingMessage; facts: AnswerFacts }
  /** No byte of it reached the backend server, or it says that it didn't run. */
  | { kind: "not-run"; reason: string; isUnreachable: boolean }
  /** It was sent and there is no answer: it may have run. */
  | { kind: "broken"; reason: string; isGivenUp: boolean };
