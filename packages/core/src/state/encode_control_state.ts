import type { ControlState } from "./control_state.ts";

type Options = {
  /**
   * False for entry hosts, which use neither claims, most of the bytes, nor
   * departures.
   */
  withClaims: boolean;
};

/**
 * Encodes the tables as JSON, with rows in table order, for snapshots and for
 * entry hosts.
 */
export function encodeControlState(
  state: ControlState,
  options: Options,
): Uint8Array {
  const text = JSON.stringify({
    appliedIndex: state.appliedIndex,
    limitsChangedAt: state.limitsChangedAt,
    contracts: [...state.contracts.values()],
    weights: [...state.weights.values()],
    drained: [...state.drained],
    entryHosts: [...state.entryHosts.values()],
    permits: [...state.permits.values()],
    routing: state.routing,
    namedWeights: [...state.namedWeights.values()],
    evacuations: [...state.evacuations.values()],
    departures: options.withClaims ? [...state.departures.values()] : [],
    suspectedRequests: [...state.suspectedRequests.values()],
    blamedRequests: [...state.blamedRequests.values()],
    crashes: options.withClaims ? [...state.crashes.values()] : [],
    claims: options.withClaims ? [...state.claims.values()] : [],
  });
  return new TextEncoder().encode(text);
}
