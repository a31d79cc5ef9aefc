import type { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import type { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import type { RetryBudgets } from "@teaselrouter/core/retries/retry_budgets.ts";
import type { Router } from "@teaselrouter/core/routing/router.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import type { CallCrashDetector } from "./calls/call_crash_detector.ts";
import type { ControlSession } from "./sessions/control_session.ts";
import type { LimitsRegistry } from "./sessions/limits_registry.ts";

/** The components that the parts of one entry host share. */
export type EntryContext = {
  control: ControlSession;
  table: BackendServerTable;
  router: Router;
  outliers: OutlierDetector;
  retries: RetryBudgets;
  limits: LimitsRegistry;
  crashes: CallCrashDetector;
  clients: ClientPool;
};
