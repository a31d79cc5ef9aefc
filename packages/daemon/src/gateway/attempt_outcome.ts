import type { AnswerMetadata } from "@teaselrouter/core/gateway/answer_metadata.ts";
import type { IncomingMessage } from "node:http";

/** Outcome of one attempt to send a request to a backend server. */
export type AttemptOutcome =
  /** The head of an answer was received; its body is still to be read. */
  | { kind: "answer"; message: IncomingMessage; metadata: AnswerMetadata }
  /**
   * No byte of the request reached the backend server, or the backend server
   * says that the request didn't run. `isUnreachable`: whether no connection to
   * the backend server was made, also because this host aborted the attempt
   * before; false if the backend server refused the request.
   */
  | { kind: "not-run"; reason: string; isUnreachable: boolean }
  /** The request was sent and has no answer: it may have run. */
  | { kind: "broken"; reason: string; isAborted: boolean };
