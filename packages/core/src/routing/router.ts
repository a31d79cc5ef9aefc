import type { ControlState } from "../state/control_state.ts";
import { versionName } from "../spread/version_name.ts";
import type { BackendServerRow } from "./backend_server_row.ts";
import type { BackendServerTable } from "./backend_server_table.ts";
import type { OutlierDetector } from "./outlier_detector.ts";
import { predictWait } from "./predict_wait.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

const UNAVAILABLE_RETRY_MILLISECONDS = 1_000;
const MIN_RETRY_MILLISECONDS = 100;
/** Fraction of the deadline that waiting may take; the rest is for the work. */
const MAX_WAIT_SHARE = 0.5;

type Call = {
  service: string;
  prefix: string;
  deadlineMilliseconds: number;
  /** Backend servers to which this call was already sent. */
  tried: Set<string>;
  now: number;
};

/** Chooses the backend server for a call, or refuses the call early. */
export class Router {
  #table: BackendServerTable;
  #outliers: OutlierDetector;
  #policy: RoutingPolicy;
  #random: () => number;

  constructor(
    options: {
      table: BackendServerTable;
      outliers: OutlierDetector;
      policy: RoutingPolicy;
      /** Uniform in [0, 1). */
      random: () => number;
    },
  ) {
    this.#table = options.table;
    this.#outliers = options.outliers;
    this.#policy = options.policy;
    this.#random = options.random;
  }

  /**
   * Backend servers whose agents are silent are chosen only if no other can
   * take the call: most go on soon, and answer then.
   */
  route(state: ControlState, call: Call): RoutingDecision {
    const rows = this.#table.ofService(call.service)
      .filter((row) =>
        !state.drained.has(row.backendServer) &&
        !state.evacuations.get(row.dataCentre)?.isEvacuated
      );
    const [live, silent] = partition(
      rows,
      (row) => this.#table.isLive(row, call.now),
    );
    const decision = this.#routeAmong(live, state, call);
    if (decision.kind === "send") return decision;
    const lastChoice = this.#routeAmong(silent, state, call);
    return lastChoice.kind === "send" ? lastChoice : decision;
  }

  #routeAmong(
    rows: BackendServerRow[],
    state: ControlState,
    call: Call,
  ): RoutingDecision {
    if (rows.length === 0) return refuse("no-backend-server");
    const usable = rows.filter((row) =>
      row.accepting && !call.tried.has(row.backendServer)
    );
    const versioned = this.#preferCurrentVersion(state, call.service, usable);
    if (versioned.length === 0) {
      return this.#refusePaused(rows, call.now) ?? refuse("no-complete-model");
    }
    const healthy = versioned.filter((row) =>
      !this.#outliers.isEjected(row, call.now)
    );
    if (healthy.length === 0) return refuse("no-backend-server");
    return this.#chooseInTime(healthy, call);
  }

  /**
   * Refuses a call until the end of one of the pauses, drawn at random, so that
   * callers return spread over these ends. Undefined without a pause.
   */
  #refusePaused(
    rows: BackendServerRow[],
    now: number,
  ): RoutingDecision | undefined {
    const paused = rows.filter(({ pausedUntil }) => pausedUntil > now);
    const row = paused[Math.floor(paused.length * this.#random())];
    return row && {
      kind: "refuse",
      reason: "paused",
      retryAfterMilliseconds: Math.max(
        MIN_RETRY_MILLISECONDS,
        Math.ceil(row.pausedUntil - now),
      ),
    };
  }

  /**
   * Prefers backend servers with the current version of the weights. Those with
   * an older version are usable too, as that version is complete.
   */
  #preferCurrentVersion(
    state: ControlState,
    service: string,
    rows: BackendServerRow[],
  ): BackendServerRow[] {
    const target = state.weights.get(service);
    const withoutWeights = rows.filter((row) => !row.usesWeights);
    const loaded = rows.filter((row) =>
      row.usesWeights && row.servingVersion !== ""
    );
    if (target === undefined) return [...withoutWeights, ...loaded];
    const name = versionName(target.manifest);
    const current = loaded.filter((row) => row.servingVersion === name);
    // During a rollout, backend servers with the old version still carry most
    // of the load. The few that have switched must not receive all of it.
    const isHalfCurrent = current.length * 2 >= loaded.length;
    return [...withoutWeights, ...(isHalfCurrent ? current : loaded)];
  }

  #chooseInTime(rows: BackendServerRow[], call: Call): RoutingDecision {
    const allowed = call.deadlineMilliseconds * MAX_WAIT_SHARE;
    const inTime = rows.filter((row) => predictWait(row, call.now) <= allowed);
    const to = this.#policy.choose(inTime, call);
    if (to !== undefined) return { kind: "send", to };
    const shortestWait = Math.min(
      ...rows.map((row) => predictWait(row, call.now)),
    );
    return {
      kind: "refuse",
      reason: "overloaded",
      retryAfterMilliseconds: Math.max(
        MIN_RETRY_MILLISECONDS,
        Math.ceil(shortestWait - allowed),
      ),
    };
  }
}

function partition<Item>(
  items: Item[],
  isFirst: (item: Item) => boolean,
): [Item[], Item[]] {
  return [items.filter(isFirst), items.filter((item) => !isFirst(item))];
}

function refuse(
  reason: "no-backend-server" | "no-complete-model",
): RoutingDecision {
  return {
    kind: "refuse",
    reason,
    retryAfterMilliseconds: UNAVAILABLE_RETRY_MILLISECONDS,
  };
}
