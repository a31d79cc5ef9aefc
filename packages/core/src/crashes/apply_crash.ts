import type { CommandOf } from "../state/command_of.ts";
import type { CommandResult } from "../state/command_result.ts";
import type { ControlState } from "../state/control_state.ts";
import { REQUESTS_PER_CRASH_ROW } from "./requests_per_crash_row.ts";

const MAX_CRASHES = 128;

/**
 * Stores the end of a backend server in the replicated tables, so that evidence
 * on prompt parts survives a power loss on all hosts. Requests that are known
 * already are kept behind later ones, as far as there is room. At capacity, the
 * oldest end is evicted.
 */
export function applyCrash(
  state: ControlState,
  { crash }: CommandOf<"record-crash">,
): CommandResult {
  const known = state.crashes.get(crash.incarnation);
  const requests = new Map(
    [...crash.requests, ...known?.requests ?? []]
      .map((request) => [request.fingerprint, request]),
  );
  state.crashes.set(crash.incarnation, {
    incarnation: crash.incarnation,
    at: known?.at ?? crash.at,
    requests: [...requests.values()].slice(0, REQUESTS_PER_CRASH_ROW),
  });
  if (state.crashes.size > MAX_CRASHES) {
    state.crashes.delete(state.crashes.keys().next().value!);
  }
  return { accepted: true };
}
