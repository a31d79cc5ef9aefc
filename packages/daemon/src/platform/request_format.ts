import type { AnswerFacts } from "@teaselrouter/core/gateway/answer_facts.ts";
import type { ForwardFacts } from "@teaselrouter/core/gateway/forward_facts.ts";
import type { RequestFacts } from "@teaselrouter/core/gateway/request_facts.ts";
import type { IncomingHttpHeaders } from "node:http";

/** Names and values as they come: name, value, name, value. */
type RawHeaders = string[];

/** The headers of a platform's requests and answers. */
export interface RequestFormat {
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /**
   * The client's headers that a backend server is to see, without those that
   * concern one connection or that only the system may set, and the system's.
   */
  forwardHeaders(raw: RawHeaders, facts: ForwardFacts): RawHeaders;
  readAnswer(headers: IncomingHttpHeaders): AnswerFacts;
  /** A backend server's headers that the client is to see. */
  returnHeaders(raw: RawHeaders): RawHeaders;
  /** Whether a status promises that the request has not run and won't. */
  promisesNotRun(status: number): boolean;
}
