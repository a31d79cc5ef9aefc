import { create } from "@bufbuild/protobuf";
import type { Survival } from "@teaselrouter/core/crashes/survival.ts";
import {
  type PartSurvival,
  PartSurvivalSchema,
} from "@teaselrouter/messages/follow.ts";

/** Encodes a survival for another process; `now` is the local monotonic time. */
export function encodeSurvival(
  { part, begunAt, livedMilliseconds, isComplete }: Survival,
  now: number,
): PartSurvival {
  return create(PartSurvivalSchema, {
    part,
    begunAgeMilliseconds: Math.max(0, now - begunAt),
    livedMilliseconds,
    isComplete,
  });
}
