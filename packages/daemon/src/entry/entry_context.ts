import type { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import type { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import type { RetryBudget } from "@teaselrouter/core/routing/retry_budget.ts";
import type { Router } from "@teaselrouter/core/routing/router.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import type { CallCrashes } from "./calls/call_crashes.ts";
import type { ControlSession } from "./sessions/control_session.ts";
import type { LimitsRegistry } from "./sessions/limits_registry.ts";

/** What an entry host's parts share. */
export type EntryWorld = {
  control: ControlSession;
  table: BackendServerTable;
  router: Router;
  outliers: OutlierDetector;
  retries: RetryBudget;
  limits: LimitsRegistry;
  crashes: CallCrashes;
  clients: ClientPool;
};
