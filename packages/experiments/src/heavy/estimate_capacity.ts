import type { FleetSettings } from "./fleet_settings.ts";

/**
 * Estimates the calls per second that a fleet's engines can answer with all
 * slots in use. An answer occupies its slot while it is decoded, and the
 * prefill of each prompt delays all slots of its engine.
 */
export function estimateCapacity(
  { engine, engines, kinds }: FleetSettings,
): number {
  const { slots, step_ms, step_per_request_ms, read_tokens_per_ms } = engine;
  const meanOf = (of: (kind: FleetSettings["kinds"][number]) => number) =>
    kinds.reduce((sum, kind) => sum + kind.share * of(kind), 0);
  const stepMilliseconds = step_ms + step_per_request_ms * slots;
  const decodeMilliseconds = meanOf(({ answer_tokens }) => answer_tokens) *
    stepMilliseconds;
  const prefillMilliseconds = meanOf(({ prompt_tokens }) => prompt_tokens) /
    read_tokens_per_ms;
  const { slow, lasting } = engine;
  const usualShare = slow === undefined
    ? 1
    : 1 - slow.share + slow.share / slow.factor;
  const lastingLoss = lasting === undefined
    ? 0
    : lasting.engines * (1 - 1 / lasting.factor);
  return 1_000 * (engines - lastingLoss) * usualShare * slots /
    (decodeMilliseconds + slots * prefillMilliseconds);
}
