import { versionName } from "../spread/version_name.ts";
import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import type { PermitRow } from "./permit_row.ts";

const PERMIT_LIFETIME_MILLISECONDS = 60_000;

/** Returns how many of a service's backend servers may load at once. */
function maxConcurrentLoads(live: number, servingShare: number): number {
  return Math.max(1, Math.floor(live * (1 - servingShare)));
}

/**
 * Permits a backend server to stop serving and load the current version, as
 * long as the service's configured share of backend servers keeps serving. A
 * backend server that serves nothing doesn't count against that share.
 */
export function applyPermitRequest(
  state: ControlState,
  command: CommandOf<"request-permit">,
  index: number,
): CommandResult {
  const weights = state.weights.get(command.service);
  if (
    weights === undefined || versionName(weights.manifest) !== command.version
  ) {
    return { accepted: false, reason: "not-the-current-version" };
  }
  if (command.wasServing) {
    const activePermits = [...state.permits.values()].filter((permit) =>
      permit.service === command.service && permit.wasServing &&
      permit.backendServer !== command.backendServer &&
      command.at - permit.at < PERMIT_LIFETIME_MILLISECONDS
    );
    if (
      activePermits.length >=
        maxConcurrentLoads(command.live, weights.servingShare)
    ) {
      return { accepted: false, reason: "serving-share-would-be-broken" };
    }
  }
  const permit: PermitRow = {
    backendServer: command.backendServer,
    service: command.service,
    incarnation: command.incarnation,
    version: command.version,
    wasServing: command.wasServing,
    fencingToken: index,
    at: command.at,
  };
  state.permits.set(permit.backendServer, permit);
  return { accepted: true, value: permit };
}
