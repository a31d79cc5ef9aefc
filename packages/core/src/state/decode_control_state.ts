import type { ClaimRow } from "../claims/claim_row.ts";
import { claimId } from "../claims/claim_id.ts";
import type { BlamedRequestRow } from "../crashes/blamed_request_row.ts";
import type { SuspectedRequestRow } from "../crashes/suspected_request_row.ts";
import type { ContractRow } from "../contracts/contract_row.ts";
import type { EntryHostRow } from "../membership/entry_host_row.ts";
import type { RoutingRow } from "../gateway/routing_row.ts";
import type { NamedWeightsRow } from "../rollout/named_weights_row.ts";
import type { PermitRow } from "../rollout/permit_row.ts";
import type { WeightsRow } from "../rollout/weights_row.ts";
import type { ControlState } from "./control_state.ts";
import { emptyControlState } from "./empty_control_state.ts";

type Encoded = {
  appliedIndex: number;
  limitsChangedAt: number;
  contracts: ContractRow[];
  weights: WeightsRow[];
  drained: string[];
  entryHosts: EntryHostRow[];
  permits: PermitRow[];
  /** Missing in snapshots of versions that had no routing. */
  routing?: RoutingRow;
  namedWeights?: NamedWeightsRow[];
  /** Missing in snapshots of versions that blamed none. */
  suspectedRequests?: SuspectedRequestRow[];
  blamedRequests?: BlamedRequestRow[];
  claims: ClaimRow[];
};

function tableOf<Row>(
  rows: Row[],
  keyOf: (row: Row) => string,
): Map<string, Row> {
  return new Map(rows.map((row) => [keyOf(row), row]));
}

/** Reads what `encodeControlState` wrote; no bytes is the empty state. */
export function decodeControlState(bytes: Uint8Array): ControlState {
  if (bytes.length === 0) return emptyControlState();
  const encoded = JSON.parse(new TextDecoder().decode(bytes)) as Encoded;
  return {
    appliedIndex: encoded.appliedIndex,
    limitsChangedAt: encoded.limitsChangedAt,
    contracts: tableOf(encoded.contracts, (row) => row.workspace),
    weights: tableOf(encoded.weights, (row) => row.service),
    drained: new Set(encoded.drained),
    entryHosts: tableOf(encoded.entryHosts, (row) => row.host),
    permits: tableOf(encoded.permits, (row) => row.backendServer),
    routing: encoded.routing,
    namedWeights: tableOf(encoded.namedWeights ?? [], (row) => row.model),
    suspectedRequests: tableOf(
      encoded.suspectedRequests ?? [],
      (row) => row.fingerprint,
    ),
    blamedRequests: tableOf(
      encoded.blamedRequests ?? [],
      (row) => row.fingerprint,
    ),
    claims: tableOf(encoded.claims, claimId),
  };
}
