import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import { seededRandom } from "@teaselrouter/core/random/seeded_random.ts";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { newBackendServerRow } from "@teaselrouter/core/routing/new_backend_server_row.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import { PredictedWaitPolicy } from "@teaselrouter/core/routing/predicted_wait_policy.ts";
import { RetryBudget } from "@teaselrouter/core/routing/retry_budget.ts";
import { RoundRobinPolicy } from "@teaselrouter/core/routing/round_robin_policy.ts";
import { Router } from "@teaselrouter/core/routing/router.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import { build } from "hdr-histogram-js";
import { EventQueue } from "./event_queue.ts";
import { ModelledBackend } from "./modelled_backend.ts";

const ENTRIES = 4;
const BACKENDS = 12;
const SLOTS = 4;
const MEAN_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 1_000;
const HOP_MILLISECONDS = 1;
const REPORT_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 200;
const RUN_MILLISECONDS = 30_000;
const NAIVE_RETRIES = 3;

type Options = {
  seed: number;
  /** Times the capacity of the backend servers. */
  load: number;
  ours: boolean;
  /** One backend server takes five times as long. */
  withSlow: boolean;
  /** One fails every call at once. */
  withBlackHole: boolean;
};

type Result = {
  /** Answers within the deadline, as a part of the capacity. */
  goodput: number;
  late: number;
  refused: number;
  failed: number;
  calls: number;
  retries: number;
  p50: number;
  p95: number;
  p99: number;
  /** Longest time until a refusal was answered, milliseconds. */
  slowestRefusal: number;
};

type Entry = {
  table: BackendServerTable;
  router: Router;
  outliers: OutlierDetector;
  retries: RetryBudget;
};

/**
 * Routing under load in modelled time: lagging reports, several entry hosts
 * that know nothing of each other, and the naive twin (round robin, queues
 * without bound, three retries) on the same arrivals.
 */
export class OverloadModel {
  #options: Options;
  #events = new EventQueue();
  #random: () => number;
  #backends: ModelledBackend[] = [];
  #entries: Entry[] = [];
  #times = build();
  #counts = { good: 0, late: 0, refused: 0, failed: 0, calls: 0, retries: 0 };
  #slowestRefusal = 0;

  constructor(options: Options) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    for (let index = 0; index < BACKENDS; index += 1) this.#addBackend(index);
    for (let index = 0; index < ENTRIES; index += 1) this.#addEntry();
  }

  run(): Result {
    const capacity = BACKENDS * SLOTS / MEAN_MILLISECONDS;
    this.#arrive(capacity * this.#options.load);
    for (const backend of this.#backends) this.#report(backend);
    this.#events.runUntil(RUN_MILLISECONDS);
    const { good, ...rest } = this.#counts;
    return {
      ...rest,
      goodput: good / RUN_MILLISECONDS / capacity,
      p50: this.#times.getValueAtPercentile(50),
      p95: this.#times.getValueAtPercentile(95),
      p99: this.#times.getValueAtPercentile(99),
      slowestRefusal: this.#slowestRefusal,
    };
  }

  #addBackend(index: number): void {
    const { ours, withSlow, withBlackHole } = this.#options;
    const slow = withSlow && index === 0;
    this.#backends.push(
      new ModelledBackend(this.#events, {
        name: `b${index}`,
        slots: SLOTS,
        meanMilliseconds: slow ? MEAN_MILLISECONDS * 5 : MEAN_MILLISECONDS,
        failsFast: withBlackHole && index === 1,
        refusesEarly: ours,
      }),
    );
  }

  #addEntry(): void {
    const table = new BackendServerTable();
    const outliers = new OutlierDetector();
    const policy = this.#options.ours
      ? new PredictedWaitPolicy({
        random: this.#random,
        dataCentre: "x",
        crossDataCentreMilliseconds: 0,
      })
      : new RoundRobinPolicy();
    const router = new Router({ table, outliers, policy });
    for (const { options } of this.#backends) table.set(rowOf(options.name));
    this.#entries.push({ table, outliers, router, retries: new RetryBudget() });
  }

  #arrive(perMillisecond: number): void {
    const gap = -Math.log(1 - this.#random()) / perMillisecond;
    this.#events.after(gap, () => {
      const entry = this.#entries[Math.floor(this.#random() * ENTRIES)]!;
      const work = -Math.log(1 - this.#random());
      this.#counts.calls += 1;
      entry.retries.countCall();
      const tried = new Set<string>();
      this.#send(entry, { work, startedAt: this.#events.now, tried });
      this.#arrive(perMillisecond);
    });
  }

  #send(
    entry: Entry,
    call: { work: number; startedAt: number; tried: Set<string> },
  ): void {
    const now = this.#events.now;
    const deadlineAt = call.startedAt + DEADLINE_MILLISECONDS;
    const row = this.#choose(entry, call, now);
    if (row === undefined) return this.#refuse(call.startedAt);
    call.tried.add(row.backendServer);
    row.ownInFlight += 1;
    const backend = this.#backends.find(({ options }) =>
      options.name === row.backendServer
    )!;
    this.#events.after(HOP_MILLISECONDS, () =>
      backend.take({
        work: call.work,
        deadlineAt,
        end: (outcome) =>
          this.#events.after(HOP_MILLISECONDS, () => {
            row.ownInFlight -= 1;
            this.#finish(entry, call, { row, outcome });
          }),
      }));
  }

  #choose(
    entry: Entry,
    call: { startedAt: number; tried: Set<string> },
    now: number,
  ): BackendServerRow | undefined {
    const left = call.startedAt + DEADLINE_MILLISECONDS - now;
    const decision = entry.router.route(createEmptyControlState(), {
      service: "writer",
      prefix: "",
      // The naive twin sends whatever the wait.
      deadlineMilliseconds: this.#options.ours ? left : Infinity,
      tried: this.#options.ours ? call.tried : new Set(),
      now,
    });
    return decision.kind === "send" ? decision.to : undefined;
  }

  #finish(
    entry: Entry,
    call: { work: number; startedAt: number; tried: Set<string> },
    end: { row: BackendServerRow; outcome: string },
  ): void {
    const now = this.#events.now;
    const { ours } = this.#options;
    if (end.outcome === "answered") {
      const took = now - call.startedAt;
      this.#times.recordValue(Math.round(took));
      if (took <= DEADLINE_MILLISECONDS) this.#counts.good += 1;
      else this.#counts.late += 1;
      entry.outliers.recordSuccess(end.row);
      return;
    }
    if (ours && end.outcome === "failed") {
      entry.outliers.recordFailure(end.row, now);
    }
    const mayRetry = ours
      ? entry.retries.tryRetry()
      : call.tried.size < NAIVE_RETRIES;
    if (mayRetry) {
      this.#counts.retries += 1;
      this.#send(entry, call);
    } else if (end.outcome === "failed") this.#counts.failed += 1;
    else this.#refuse(call.startedAt);
  }

  #refuse(startedAt: number): void {
    this.#counts.refused += 1;
    const took = this.#events.now - startedAt;
    this.#slowestRefusal = Math.max(this.#slowestRefusal, took);
  }

  #report(backend: ModelledBackend): void {
    const load = backend.load;
    const sent = this.#entries.map(({ table }) =>
      table.get(backend.options.name)!.ownInFlight
    );
    this.#events.after(REPORT_LAG_MILLISECONDS, () => {
      this.#entries.forEach(({ table }, index) => {
        const row = table.get(backend.options.name)!;
        row.heardAt = this.#events.now;
        row.load = {
          ...load,
          ownInFlight: sent[index]!,
          at: this.#events.now,
        };
      });
    });
    this.#events.after(REPORT_MILLISECONDS, () => this.#report(backend));
  }
}

function rowOf(name: string): BackendServerRow {
  const row = newBackendServerRow({
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
  // It has been up for long: no slow start.
  row.acceptingSince = -Infinity;
  row.load.serviceMilliseconds = MEAN_MILLISECONDS;
  return row;
}
