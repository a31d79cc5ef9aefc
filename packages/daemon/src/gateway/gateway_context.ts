import type { DispatchTerms } from "@teaselrouter/core/dispatch/dispatch_terms.ts";
import type { PatienceEstimator } from "@teaselrouter/core/gateway/patience_estimator.ts";
import type { RetryBudgets } from "@teaselrouter/core/retries/retry_budgets.ts";
import type { EventLog } from "../log/event_log.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { RequestFormat } from "../platform/request_format.ts";
import type { BackendConnections } from "./backend_connections.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { ControlFeed } from "./control_feed.ts";
import type { CrashReporter } from "./crash_reporter.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { HeldBodies } from "./held_bodies.ts";
import type { NamedLimits } from "./named_limits.ts";
import type { ServerPushbacks } from "./server_pushbacks.ts";
import type { SilenceWatch } from "./silence_watch.ts";
import type { StartHold } from "./start_hold.ts";

/** Objects that all requests of a gateway share. */
export type GatewayContext = {
  feed: ControlFeed;
  startHold: StartHold;
  pool: BackendPool;
  dispatch: DispatchTerms;
  connections: BackendConnections;
  heldBodies: HeldBodies;
  namedLimits: NamedLimits;
  pushbacks: ServerPushbacks;
  retries: RetryBudgets;
  patience: PatienceEstimator;
  silence: SilenceWatch;
  crashWatch: CrashWatch;
  crashes: CrashReporter;
  format: RequestFormat;
  log: EventLog;
  metrics: ProcessMetrics;
  random: () => number;
  isStopping: () => boolean;
};
