import type { Result } from "true-myth";
import type { ControlOperations } from "../control/control_operations.ts";
import type { Closable } from "./closable.ts";
import type { ModelEngine } from "./model_engine.ts";
import type { RequestFormat } from "./request_format.ts";
import type { RoutingDecoder } from "./routing_decoder.ts";
import type { WeightStore } from "./weight_store.ts";
import type { WeightStoreFormat } from "./weight_store_format.ts";

/**
 * How a platform speaks: names, formats and calls. It decides nothing; what
 * is behind these calls is the system's.
 */
export interface PlatformEdge {
  decodeRouting: RoutingDecoder;
  requestFormat: RequestFormat;
  /** Path on which the balancer asks whether a host takes connections. */
  readyPath: string;
  weightStore: WeightStore;
  storeFormat: WeightStoreFormat;
  /** The engine that takes requests at `address`, from its own host. */
  openEngine(address: string): ModelEngine;
  /** Serves operators and backend servers on a control host. */
  serveOperations(
    address: string,
    operations: ControlOperations,
  ): Promise<Result<Closable, string>>;
}
