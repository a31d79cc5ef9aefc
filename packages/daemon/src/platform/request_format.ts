import type { AnswerMetadata } from "@teaselrouter/core/gateway/answer_metadata.ts";
import type { ForwardMetadata } from "@teaselrouter/core/gateway/forward_metadata.ts";
import type { RequestMetadata } from "@teaselrouter/core/gateway/request_metadata.ts";
import type { IncomingHttpHeaders } from "node:http";

/** Headers in the order received: name, value, name, value. */
type RawHeaders = string[];

/** Reads and writes the headers of a platform's requests and answers. */
export interface RequestFormat {
  /** Reads the metadata in the headers of a client's request. */
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * Returns the headers to send to a backend server: the client's headers
   * without hop-by-hop headers and without those that only the system may set,
   * and the ones built from `metadata`.
   */
  buildForwardHeaders(raw: RawHeaders, metadata: ForwardMetadata): RawHeaders;
  /** Reads the metadata in the headers of a backend server's answer. */
  readAnswer(
    headers: IncomingHttpHeaders,
    status: number,
    raw: RawHeaders,
  ): AnswerMetadata;
  /** Returns the headers of a backend server to forward to the client. */
  filterAnswerHeaders(raw: RawHeaders): RawHeaders;
  /** Whether a status guarantees that the request has not run and won't run. */
  guaranteesNotRun(status: number): boolean;
}
