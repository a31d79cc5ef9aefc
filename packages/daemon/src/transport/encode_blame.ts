import { create } from "@bufbuild/protobuf";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import {
  type BlamedRequest,
  BlamedRequestSchema,
} from "@teaselrouter/messages/follow.ts";

/**
 * Encodes a blame for another process. The end of its term is sent as the time
 * left, as monotonic clocks of different processes can't be compared.
 */
export function encodeBlame(blame: Blame, now: number): BlamedRequest {
  return create(BlamedRequestSchema, {
    ...blame,
    leftMilliseconds: Math.max(0, blame.endsAt - now),
  });
}
