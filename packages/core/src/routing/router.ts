import type { ControlState } from "../state/control_state.ts";
import { versionName } from "../spread/version_name.ts";
import type { BackendServerRow } from "./backend_server_row.ts";
import type { BackendServerTable } from "./backend_server_table.ts";
import type { OutlierDetector } from "./outlier_detector.ts";
import { predictWait } from "./predict_wait.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

const RETRY_WHEN_NONE_MILLISECONDS = 1_000;
const LEAST_RETRY_MILLISECONDS = 100;
/** Part of the deadline that waiting may take; the rest is for the work. */
const WAIT_SHARE = 0.5;

type Call = {
  service: string;
  prefix: string;
  deadlineMilliseconds: number;
  /** Backend servers that this call has tried. */
  tried: Set<string>;
  now: number;
};

/** Decides where a call goes, or refuses it early. */
export class Router {
  #table: BackendServerTable;
  #outliers: OutlierDetector;
  #policy: RoutingPolicy;

  constructor(
    options: {
      table: BackendServerTable;
      outliers: OutlierDetector;
      policy: RoutingPolicy;
    },
  ) {
    this.#table = options.table;
    this.#outliers = options.outliers;
    this.#policy = options.policy;
  }

  route(state: ControlState, call: Call): RoutingDecision {
    const live = this.#table.ofService(call.service).filter((row) =>
      this.#table.isLive(row, call.now) && !state.drained.has(row.backendServer)
    );
    if (live.length === 0) return refuse("no-backend-server");
    const usable = live.filter((row) =>
      row.accepting && !call.tried.has(row.backendServer)
    );
    const versioned = this.#withOneVersion(state, call.service, usable);
    if (versioned.length === 0) return refuse("no-complete-model");
    const healthy = versioned.filter((row) =>
      !this.#outliers.isAside(row, call.now)
    );
    if (healthy.length === 0) return refuse("no-backend-server");
    return this.#place(healthy, call);
  }

  /** Prefers the current version; an older complete one is as whole. */
  #withOneVersion(
    state: ControlState,
    service: string,
    rows: BackendServerRow[],
  ): BackendServerRow[] {
    const target = state.weights.get(service);
    const plain = rows.filter((row) => !row.usesWeights);
    const loaded = rows.filter((row) =>
      row.usesWeights && row.servingVersion !== ""
    );
    if (target === undefined) return [...plain, ...loaded];
    const name = versionName(target.manifest);
    const current = loaded.filter((row) => row.servingVersion === name);
    // During a rollout the old version still carries most of the load; the
    // few that are through must not get all of it.
    const enough = current.length * 2 >= loaded.length;
    return [...plain, ...(enough ? current : loaded)];
  }

  #place(rows: BackendServerRow[], call: Call): RoutingDecision {
    const allowed = call.deadlineMilliseconds * WAIT_SHARE;
    const inTime = rows.filter((row) => predictWait(row, call.now) <= allowed);
    const to = this.#policy.choose(inTime, call);
    if (to !== undefined) return { kind: "send", to };
    const least = Math.min(...rows.map((row) => predictWait(row, call.now)));
    return {
      kind: "refuse",
      reason: "overloaded",
      retryAfterMilliseconds: Math.max(
        LEAST_RETRY_MILLISECONDS,
        Math.ceil(least - allowed),
      ),
    };
  }
}

function refuse(
  reason: "no-backend-server" | "no-complete-model",
): RoutingDecision {
  return {
    kind: "refuse",
    reason,
    retryAfterMilliseconds: RETRY_WHEN_NONE_MILLISECONDS,
  };
}
