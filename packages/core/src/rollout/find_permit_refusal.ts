import { versionName } from "../spread/version_name.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

const PERMIT_LIFETIME_MILLISECONDS = 60_000;

/** Returns how many of a service's backend servers may load at once. */
function maxConcurrentLoads(live: number, servingShare: number): number {
  return Math.max(1, Math.floor(live * (1 - servingShare)));
}

/**
 * Why a backend server may not stop serving and load this version at `now`,
 * Unix milliseconds; undefined if it may. The configured share of the service's
 * backend servers must keep serving; one that serves nothing doesn't count
 * against that share.
 */
export function findPermitRefusal(
  state: ControlState,
  request: Omit<CommandOf<"request-permit">, "at">,
  now: number,
): "not-the-current-version" | "serving-share-would-be-broken" | undefined {
  const weights = state.weights.get(request.service);
  if (
    weights === undefined || versionName(weights.manifest) !== request.version
  ) return "not-the-current-version";
  if (!request.wasServing) return undefined;
  const activePermits = [...state.permits.values()].filter((permit) =>
    permit.service === request.service && permit.wasServing &&
    permit.backendServer !== request.backendServer &&
    now - permit.at < PERMIT_LIFETIME_MILLISECONDS
  );
  const limit = maxConcurrentLoads(request.live, weights.servingShare);
  return activePermits.length >= limit
    ? "serving-share-would-be-broken"
    : undefined;
}
