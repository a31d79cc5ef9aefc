import type { AnswerFacts } from "@teaselrouter/core/gateway/answer_facts.ts";
import type { ForwardFacts } from "@teaselrouter/core/gateway/forward_facts.ts";
import type { RequestFacts } from "@teaselrouter/core/gateway/request_facts.ts";
import type { IncomingHttpHeaders } from "node:http";

/** Headers in the order received: name, value, name, value. */
type RawHeaders = string[];

/** Reads and writes the headers of a platform's requests and answers. */
export interface RequestFormat {
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /**
   * Returns the headers to send to a backend server: the client's, without
   * hop-by-hop headers and those that only the system may set, and the
   * system's.
   */
  forwardHeaders(raw: RawHeaders, facts: ForwardFacts): RawHeaders;
  readAnswer(headers: IncomingHttpHeaders): AnswerFacts;
  /** Returns the headers of a backend server to forward to the client. */
  returnHeaders(raw: RawHeaders): RawHeaders;
  /** Whether a status guarantees that the request has not run and won't run. */
  promisesNotRun(status: number): boolean;
}
