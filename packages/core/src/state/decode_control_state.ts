import type { ClaimRow } from "../claims/claim_row.ts";
import { claimId } from "../claims/claim_id.ts";
import type { BlamedRequestRow } from "../crashes/blamed_request_row.ts";
import type { CrashRow } from "../crashes/crash_row.ts";
import type { SuspectedRequestRow } from "../crashes/suspected_request_row.ts";
import type { ContractRow } from "../contracts/contract_row.ts";
import type { Departure } from "../departures/departure.ts";
import type { EvacuationRow } from "../evacuations/evacuation_row.ts";
import type { EntryHostRow } from "../membership/entry_host_row.ts";
import type { RoutingRow } from "../gateway/routing_row.ts";
import type { NamedWeightsRow } from "../rollout/named_weights_row.ts";
import type { PermitRow } from "../rollout/permit_row.ts";
import type { WeightsRow } from "../rollout/weights_row.ts";
import type { ControlState } from "./control_state.ts";
import { createEmptyControlState } from "./create_empty_control_state.ts";

type EncodedControlState = {
  appliedIndex: number;
  limitsChangedAt: number;
  contracts: ContractRow[];
  weights: WeightsRow[];
  drained: string[];
  entryHosts: EntryHostRow[];
  permits: PermitRow[];
  /** Missing in snapshots written by versions without routing. */
  routing?: RoutingRow;
  namedWeights?: NamedWeightsRow[];
  /** Missing in snapshots written by versions without evacuations. */
  evacuations?: EvacuationRow[];
  /** Missing in snapshots written by versions that did not keep departures. */
  departures?: Departure[];
  /** Missing in snapshots written by versions that did not blame requests. */
  suspectedRequests?: SuspectedRequestRow[];
  blamedRequests?: BlamedRequestRow[];
  /** Missing in snapshots written by versions that did not keep crashes. */
  crashes?: CrashRow[];
  claims: ClaimRow[];
};

function indexRowsBy<Row>(
  rows: Row[],
  keyOf: (row: Row) => string,
): Map<string, Row> {
  return new Map(rows.map((row) => [keyOf(row), row]));
}

/**
 * Decodes what `encodeControlState` wrote. Returns the empty state for empty
 * `bytes`; throws if they are no valid JSON.
 */
export function decodeControlState(bytes: Uint8Array): ControlState {
  if (bytes.length === 0) return createEmptyControlState();
  const encoded = JSON.parse(
    new TextDecoder().decode(bytes),
  ) as EncodedControlState;
  return {
    appliedIndex: encoded.appliedIndex,
    limitsChangedAt: encoded.limitsChangedAt,
    contracts: indexRowsBy(encoded.contracts, (row) => row.workspace),
    weights: indexRowsBy(encoded.weights, (row) => row.service),
    drained: new Set(encoded.drained),
    entryHosts: indexRowsBy(encoded.entryHosts, (row) => row.host),
    permits: indexRowsBy(encoded.permits, (row) => row.backendServer),
    routing: encoded.routing,
    namedWeights: indexRowsBy(encoded.namedWeights ?? [], (row) => row.model),
    evacuations: indexRowsBy(
      encoded.evacuations ?? [],
      (row) => row.dataCentre,
    ),
    departures: indexRowsBy(encoded.departures ?? [], (row) => row.instance),
    suspectedRequests: indexRowsBy(
      encoded.suspectedRequests ?? [],
      (row) => row.fingerprint,
    ),
    blamedRequests: indexRowsBy(
      encoded.blamedRequests ?? [],
      (row) => row.fingerprint,
    ),
    crashes: indexRowsBy(encoded.crashes ?? [], (row) => row.incarnation),
    claims: indexRowsBy(encoded.claims, claimId),
  };
}
