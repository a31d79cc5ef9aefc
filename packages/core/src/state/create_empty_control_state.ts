import type { ControlState } from "./control_state.ts";

/** Returns the state before the first command. */
export function createEmptyControlState(): ControlState {
  return {
    appliedIndex: 0,
    limitsChangedAt: 0,
    contracts: new Map(),
    weights: new Map(),
    drained: new Set(),
    entryHosts: new Map(),
    permits: new Map(),
    routing: undefined,
    namedWeights: new Map(),
    evacuations: new Map(),
    departures: new Map(),
    suspectedRequests: new Map(),
    blamedRequests: new Map(),
    crashes: new Map(),
    claims: new Map(),
  };
}
