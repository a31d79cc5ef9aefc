import type { FleetSettings } from "./fleet_settings.ts";

/**
 * Calls a second that a fleet's engines carry with all slots taken: an answer
 * holds its slot while it is written, and every prompt holds up all slots of
 * its engine while it is read.
 */
export function capacityOf({ engine, engines, kinds }: FleetSettings): number {
  const { slots, step_ms, step_per_request_ms, read_tokens_per_ms } = engine;
  const mean = (of: (kind: FleetSettings["kinds"][number]) => number) =>
    kinds.reduce((sum, kind) => sum + kind.share * of(kind), 0);
  const step = step_ms + step_per_request_ms * slots;
  const writing = mean(({ answer_tokens }) => answer_tokens) * step;
  const reading = mean(({ prompt_tokens }) => prompt_tokens) /
    read_tokens_per_ms;
  return 1_000 * engines * slots / (writing + slots * reading);
}
