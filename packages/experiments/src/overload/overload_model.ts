import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { createBackendServerRow } from "@teaselrouter/core/routing/create_backend_server_row.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import { PredictedWaitPolicy } from "@teaselrouter/core/routing/predicted_wait_policy.ts";
import { RetryBudgets } from "@teaselrouter/core/retries/retry_budgets.ts";
import { RoundRobinPolicy } from "@teaselrouter/core/routing/round_robin_policy.ts";
import { Router } from "@teaselrouter/core/routing/router.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import { build } from "hdr-histogram-js";
import { EventQueue } from "./event_queue.ts";
import { ModelledBackend } from "./modelled_backend.ts";

const SERVICE = "writer";
const RETRY_BOUND = { ratio: 0.16, slack: 100, windowMilliseconds: 10_000 };
const ENTRY_HOSTS = 4;
const BACKENDS = 12;
const SLOTS = 4;
const MEAN_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 1_000;
const HOP_LATENCY_MILLISECONDS = 1;
const REPORT_INTERVAL_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 200;
const RUN_MILLISECONDS = 30_000;
const NAIVE_MAX_TRIED_BACKENDS = 3;

type Options = {
  seed: number;
  /** Call rate, as a multiple of the capacity of the backend servers. */
  load: number;
  /**
   * Whether entry hosts and backend servers route, retry and refuse calls as
   * the product does, or as the naive baseline does.
   */
  usesProduct: boolean;
  /** Whether one backend server takes five times as long. */
  hasSlowBackend: boolean;
  /** Whether another backend server fails every call at once. */
  hasBlackHole: boolean;
};

type Result = {
  /** Answers within the deadline, as a share of the capacity. */
  goodput: number;
  late: number;
  refused: number;
  failed: number;
  calls: number;
  retries: number;
  /** Time to an answer, milliseconds. */
  p50: number;
  p95: number;
  p99: number;
  /** Longest time from a call to its refusal, milliseconds. */
  slowestRefusal: number;
};

type EntryHost = {
  table: BackendServerTable;
  router: Router;
  outliers: OutlierDetector;
  retries: RetryBudgets;
};

/**
 * Simulates routing under load: delayed load reports, several entry hosts that
 * know nothing of each other, and for comparison a naive baseline with the same
 * arrivals. The baseline sends calls to the backend servers in turn, its queues
 * are unbounded, and it retries a failed call until three different backend
 * servers have been tried.
 */
export class OverloadModel {
  #options: Options;
  #events = new EventQueue();
  #random: () => number;
  #backends: ModelledBackend[] = [];
  #entryHosts: EntryHost[] = [];
  #answerTimes = build();
  #counts = { good: 0, late: 0, refused: 0, failed: 0, calls: 0, retries: 0 };
  #slowestRefusal = 0;

  constructor(options: Options) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    for (let index = 0; index < BACKENDS; index += 1) this.#addBackend(index);
    for (let index = 0; index < ENTRY_HOSTS; index += 1) this.#addEntryHost();
  }

  run(): Result {
    const capacity = BACKENDS * SLOTS / MEAN_MILLISECONDS;
    this.#scheduleNextCall(capacity * this.#options.load);
    for (const backend of this.#backends) this.#sendLoadReports(backend);
    this.#events.runUntil(RUN_MILLISECONDS);
    const { good, ...rest } = this.#counts;
    return {
      ...rest,
      goodput: good / RUN_MILLISECONDS / capacity,
      p50: this.#answerTimes.getValueAtPercentile(50),
      p95: this.#answerTimes.getValueAtPercentile(95),
      p99: this.#answerTimes.getValueAtPercentile(99),
      slowestRefusal: this.#slowestRefusal,
    };
  }

  #addBackend(index: number): void {
    const { usesProduct, hasSlowBackend, hasBlackHole } = this.#options;
    const isSlow = hasSlowBackend && index === 0;
    this.#backends.push(
      new ModelledBackend(this.#events, {
        name: `b${index}`,
        slots: SLOTS,
        meanMilliseconds: isSlow ? MEAN_MILLISECONDS * 5 : MEAN_MILLISECONDS,
        failsFast: hasBlackHole && index === 1,
        refusesEarly: usesProduct,
      }),
    );
  }

  #addEntryHost(): void {
    const table = new BackendServerTable();
    const outliers = new OutlierDetector();
    const policy = this.#options.usesProduct
      ? new PredictedWaitPolicy({
        random: this.#random,
        dataCentre: "x",
        crossDataCentreMilliseconds: 0,
      })
      : new RoundRobinPolicy();
    const router = new Router({
      table,
      outliers,
      policy,
      random: this.#random,
    });
    for (const { options } of this.#backends) table.set(rowFor(options.name));
    this.#entryHosts.push({
      table,
      outliers,
      router,
      retries: new RetryBudgets({
        bound: RETRY_BOUND,
        countHosts: () => ENTRY_HOSTS,
        now: this.#events.now,
      }),
    });
  }

  #scheduleNextCall(callsPerMillisecond: number): void {
    const gapMilliseconds = -Math.log(1 - this.#random()) / callsPerMillisecond;
    this.#events.after(gapMilliseconds, () => {
      const entry = this.#entryHosts[Math.floor(this.#random() * ENTRY_HOSTS)]!;
      const serviceTimeFactor = -Math.log(1 - this.#random());
      this.#counts.calls += 1;
      const { now } = this.#events;
      entry.retries.countRequest(SERVICE, now, now);
      const tried = new Set<string>();
      this.#send(entry, {
        serviceTimeFactor,
        startedAt: this.#events.now,
        tried,
      });
      this.#scheduleNextCall(callsPerMillisecond);
    });
  }

  #send(
    entry: EntryHost,
    call: { serviceTimeFactor: number; startedAt: number; tried: Set<string> },
  ): void {
    const now = this.#events.now;
    const deadlineAt = call.startedAt + DEADLINE_MILLISECONDS;
    const row = this.#chooseBackend(entry, call, now);
    if (row === undefined) return this.#refuse(call.startedAt);
    call.tried.add(row.backendServer);
    row.ownInFlight += 1;
    const backend = this.#backends.find(({ options }) =>
      options.name === row.backendServer
    )!;
    this.#events.after(HOP_LATENCY_MILLISECONDS, () =>
      backend.accept({
        serviceTimeFactor: call.serviceTimeFactor,
        deadlineAt,
        onEnd: (outcome) =>
          this.#events.after(HOP_LATENCY_MILLISECONDS, () => {
            row.ownInFlight -= 1;
            this.#handleEnd(entry, call, { row, outcome });
          }),
      }));
  }

  #chooseBackend(
    entry: EntryHost,
    call: { startedAt: number; tried: Set<string> },
    now: number,
  ): BackendServerRow | undefined {
    const deadlineLeft = call.startedAt + DEADLINE_MILLISECONDS - now;
    const decision = entry.router.route(createEmptyControlState(), {
      service: SERVICE,
      prefix: "",
      // The naive baseline sends calls however long the predicted wait is.
      deadlineMilliseconds: this.#options.usesProduct ? deadlineLeft : Infinity,
      tried: this.#options.usesProduct ? call.tried : new Set(),
      now,
    });
    return decision.kind === "send" ? decision.to : undefined;
  }

  #handleEnd(
    entry: EntryHost,
    call: { serviceTimeFactor: number; startedAt: number; tried: Set<string> },
    end: { row: BackendServerRow; outcome: string },
  ): void {
    const now = this.#events.now;
    const { usesProduct } = this.#options;
    if (end.outcome === "answered") {
      const milliseconds = now - call.startedAt;
      this.#answerTimes.recordValue(Math.round(milliseconds));
      if (milliseconds <= DEADLINE_MILLISECONDS) this.#counts.good += 1;
      else this.#counts.late += 1;
      entry.outliers.recordSuccess(end.row);
      return;
    }
    if (usesProduct && end.outcome === "failed") {
      entry.outliers.recordFailure(end.row, now);
    }
    const mayRetry = usesProduct
      ? entry.retries.purseOf(SERVICE, now).trySpend(now)
      : call.tried.size < NAIVE_MAX_TRIED_BACKENDS;
    if (mayRetry) {
      this.#counts.retries += 1;
      this.#send(entry, call);
    } else if (end.outcome === "failed") this.#counts.failed += 1;
    else this.#refuse(call.startedAt);
  }

  #refuse(startedAt: number): void {
    this.#counts.refused += 1;
    const milliseconds = this.#events.now - startedAt;
    this.#slowestRefusal = Math.max(this.#slowestRefusal, milliseconds);
  }

  #sendLoadReports(backend: ModelledBackend): void {
    const load = backend.load;
    const inFlight = this.#entryHosts.map(({ table }) =>
      table.get(backend.options.name)!.ownInFlight
    );
    this.#events.after(REPORT_LAG_MILLISECONDS, () => {
      this.#entryHosts.forEach(({ table }, index) => {
        const row = table.get(backend.options.name)!;
        row.heardAt = this.#events.now;
        row.load = {
          ...load,
          ownInFlight: inFlight[index]!,
          at: this.#events.now,
        };
      });
    });
    this.#events.after(
      REPORT_INTERVAL_MILLISECONDS,
      () => this.#sendLoadReports(backend),
    );
  }
}

function rowFor(name: string): BackendServerRow {
  const row = createBackendServerRow({
    backendServer: name,
    dataCentre: "x",
    service: "writer",
    incarnation: "",
    internalAddress: "",
    chunkAddress: "",
    checksFencing: false,
    repeatable: true,
    usesWeights: false,
    slots: SLOTS,
    servingVersion: "",
    accepting: true,
    linkBytesPerSecond: 0,
  }, 0);
  // Has accepted calls for a long time, so that slow start does not apply.
  row.acceptingSince = -Infinity;
  row.load.serviceMilliseconds = MEAN_MILLISECONDS;
  return row;
}
