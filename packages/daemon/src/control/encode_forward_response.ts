import { create } from "@bufbuild/protobuf";
import {
  type ForwardOutcome,
  type ForwardResponse,
  ForwardResponseSchema,
  RoutingDocumentSchema,
} from "@teaselrouter/messages/follow.ts";
import type { ExecutionResult } from "./execution_result.ts";

/** Encodes what the leader answers the control host that forwarded a call. */
export function encodeForwardResponse(
  { outcome, routing, answer }: ExecutionResult & { outcome: ForwardOutcome },
): ForwardResponse {
  const encoder = new TextEncoder();
  const response = create(ForwardResponseSchema, { outcome });
  if (answer !== undefined) {
    response.answer = encoder.encode(JSON.stringify(answer));
  }
  if (routing !== undefined) {
    response.routing = create(RoutingDocumentSchema, {
      version: routing.version,
      document: encoder.encode(routing.document),
    });
  }
  return response;
}
