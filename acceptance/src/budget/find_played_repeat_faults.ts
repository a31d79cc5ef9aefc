import type { EndToEndSystem } from "../end_to_end_system.ts";
import { USUAL_BOUNDS } from "../usual_bounds.ts";
import { buildBudgetRecord } from "./build_budget_record.ts";
import type { BudgetRequest } from "./budget_request.ts";
import { findAttemptFaults } from "./find_attempt_faults.ts";
import { findRepeatFaults } from "./find_repeat_faults.ts";

/** Backend servers that one attempt may be sent to where a day says nothing. */
const USUAL_MAX_ATTEMPTS = 2;

type Sent = Pick<BudgetRequest, "id" | "gateway" | "sentAt">;

/**
 * Lists where the repeats of a played day whose requests are all streams went
 * beyond the usual bounds, by window and by service.
 */
export function findPlayedRepeatFaults(
  system: EndToEndSystem,
  sent: readonly Sent[],
): string[] {
  const record = buildBudgetRecord({
    system,
    bounds: USUAL_BOUNDS,
    requests: sent.map((request) => ({
      ...request,
      kind: "stream",
      service: "writer",
      deadlineMilliseconds: Infinity,
    })),
    endedInstances: new Set(
      system.servers.flatMap(({ server }) => server.endedInstances),
    ),
    maxAttempts: USUAL_MAX_ATTEMPTS,
    disruptions: [],
  });
  return [...findAttemptFaults(record), ...findRepeatFaults(record)];
}
