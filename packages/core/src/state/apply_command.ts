import { applyClaim } from "../claims/apply_claim.ts";
import { applyClaimCancellation } from "../claims/apply_claim_cancellation.ts";
import { applyClaimSettlement } from "../claims/apply_claim_settlement.ts";
import { applyBlame } from "../crashes/apply_blame.ts";
import { applyCrash } from "../crashes/apply_crash.ts";
import { applySuspicion } from "../crashes/apply_suspicion.ts";
import { applyDepartures } from "../departures/apply_departures.ts";
import { applyContractChange } from "../contracts/apply_contract_change.ts";
import { applyEvacuationOrder } from "../evacuations/apply_evacuation_order.ts";
import { applyPermitRequest } from "../rollout/apply_permit_request.ts";
import { applyRoutingReplacement } from "../gateway/apply_routing_replacement.ts";
import { applyNamedWeights } from "../rollout/apply_named_weights.ts";
import { applyPublication } from "../rollout/apply_publication.ts";
import type { CommandResult } from "./command_result.ts";
import type { Command } from "./command.ts";
import type { ControlState } from "./control_state.ts";

const ACCEPTED: CommandResult = { accepted: true };

/**
 * Applies one committed command at log index `index` to the tables, and returns
 * the answer for the proposer. Depends only on its arguments, so that every
 * host computes the same tables.
 */
export function applyCommand(
  state: ControlState,
  command: Command,
  index: number,
): CommandResult {
  state.appliedIndex = index;
  switch (command.kind) {
    case "change-contract":
      return applyContractChange(state, command, index);
    case "publish-weights":
      return applyPublication(state, command, index);
    case "drain-backend":
      if (command.drained) state.drained.add(command.backendServer);
      else state.drained.delete(command.backendServer);
      return ACCEPTED;
    case "register-entry": {
      const { kind: _kind, ...row } = command;
      state.entryHosts.set(row.host, row);
      state.limitsChangedAt = index;
      return ACCEPTED;
    }
    case "remove-entry":
      state.limitsChangedAt = index;
      return { accepted: state.entryHosts.delete(command.host) };
    case "claim":
      return applyClaim(state, command, index);
    case "settle-claim":
      return applyClaimSettlement(state, command);
    case "cancel-claim":
      return applyClaimCancellation(state, command);
    case "request-permit":
      return applyPermitRequest(state, command, index);
    case "replace-routing":
      return applyRoutingReplacement(state, command, index);
    case "name-weights":
      return applyNamedWeights(state, command, index);
    case "order-evacuation":
      return applyEvacuationOrder(state, command, index);
    case "record-departures":
      return applyDepartures(state, command, index);
    case "blame-request":
      return applyBlame(state, command);
    case "suspect-request":
      return applySuspicion(state, command);
    case "record-crash":
      return applyCrash(state, command);
    case "lift-blame":
      state.suspectedRequests.delete(command.fingerprint);
      state.blamedRequests.delete(command.fingerprint);
      return ACCEPTED;
    case "settle-permit": {
      const permit = state.permits.get(command.backendServer);
      if (permit?.fencingToken !== command.fencingToken) {
        return { accepted: false, reason: "no-such-permit" };
      }
      state.permits.delete(command.backendServer);
      return ACCEPTED;
    }
  }
}
