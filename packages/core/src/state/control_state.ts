import type { ClaimRow } from "../claims/claim_row.ts";
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

/** The tables that result from applying the replicated log. */
export type ControlState = {
  appliedIndex: number;
  /**
   * Log index of the latest command that may have changed the rate that entry
   * hosts are guaranteed while cut off.
   */
  limitsChangedAt: number;
  /** By workspace. */
  contracts: Map<string, ContractRow>;
  /** By service. */
  weights: Map<string, WeightsRow>;
  /** Backend servers that are sent no new work. */
  drained: Set<string>;
  /** By host. */
  entryHosts: Map<string, EntryHostRow>;
  /** By backend server. */
  permits: Map<string, PermitRow>;
  /** The newest routing configuration; undefined before the first. */
  routing: RoutingRow | undefined;
  /** Weights versions that operators named last, by model. */
  namedWeights: Map<string, NamedWeightsRow>;
  /** By data centre; also those whose evacuation has ended. */
  evacuations: Map<string, EvacuationRow>;
  /** Starts of backend servers that leave or left, by instance, oldest first. */
  departures: Map<string, Departure>;
  /**
   * Requests suspected of crashing the backend servers that run them, by
   * fingerprint, oldest first; also those that have been blamed since.
   */
  suspectedRequests: Map<string, SuspectedRequestRow>;
  /**
   * Requests that are refused because they crash the backend servers that run
   * them, by fingerprint, oldest first.
   */
  blamedRequests: Map<string, BlamedRequestRow>;
  /** Ends of backend servers under requests, by incarnation, oldest first. */
  crashes: Map<string, CrashRow>;
  /** By workspace and key, oldest first. */
  claims: Map<string, ClaimRow>;
};
