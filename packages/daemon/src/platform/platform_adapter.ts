import type { Result } from "true-myth";
import type { CallerIntake } from "../http/caller_intake.ts";
import type { ControlOperations } from "../control/control_operations.ts";
import type { Closable } from "./closable.ts";
import type { ModelEngine } from "./model_engine.ts";
import type { RequestFormat } from "./request_format.ts";
import type { RoutingDecoder } from "./routing_decoder.ts";
import type { WeightStore } from "./weight_store.ts";
import type { WeightStoreFormat } from "./weight_store_format.ts";

/**
 * Adapter for a platform: its names, formats and calls. It makes no decisions;
 * the code that uses it does.
 */
export interface PlatformAdapter {
  decodeRouting: RoutingDecoder;
  requestFormat: RequestFormat;
  /** Path of the load balancer's readiness check. */
  readyPath: string;
  weightStore: WeightStore;
  weightStoreFormat: WeightStoreFormat;
  /**
   * Returns a client for the model engine on this host, which takes requests at
   * `address`.
   */
  openEngine(address: string): ModelEngine;
  /** Starts a control host's server for operators and backend servers. */
  serveOperations(
    address: string,
    operations: ControlOperations,
    intake: CallerIntake,
  ): Promise<Result<Closable, string>>;
}
