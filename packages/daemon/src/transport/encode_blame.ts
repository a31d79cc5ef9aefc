import { create } from "@bufbuild/protobuf";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import {
  type BlamedRequest,
  BlamedRequestSchema,
} from "@teaselrouter/messages/follow.ts";

/** Writes a blame for the way between processes, whose clocks differ. */
export function encodeBlame(blame: Blame, now: number): BlamedRequest {
  return create(BlamedRequestSchema, {
    ...blame,
    leftMilliseconds: Math.max(0, blame.endsAt - now),
  });
}
