import { versionName } from "../spread/version_name.ts";
import type { ChangeAnswer } from "../state/change_answer.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import type { PermitRow } from "./permit_row.ts";

const PERMIT_MILLISECONDS = 60_000;

/** How many of a service's backend servers may be out at once. */
function loadBudget(live: number, servingShare: number): number {
  return Math.max(1, Math.floor(live * (1 - servingShare)));
}

/**
 * Lets a backend server stop serving to load the current version, while the
 * service's set share goes on. One that serves nothing costs no share.
 */
export function applyPermitRequest(
  state: ControlState,
  command: CommandOf<"request-permit">,
  index: number,
): ChangeAnswer {
  const weights = state.weights.get(command.service);
  if (
    weights === undefined || versionName(weights.manifest) !== command.version
  ) {
    return { accepted: false, reason: "not-the-current-version" };
  }
  if (command.wasServing) {
    const out = [...state.permits.values()].filter((permit) =>
      permit.service === command.service && permit.wasServing &&
      permit.backendServer !== command.backendServer &&
      command.at - permit.at < PERMIT_MILLISECONDS
    );
    if (out.length >= loadBudget(command.live, weights.servingShare)) {
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
