import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import { weightsUnusedAt } from "@teaselrouter/core/rollout/weights_unused_at.ts";
import { Subject } from "rxjs";
import type { WeightsCache } from "../spread/weights_cache.ts";
import type { EventLog } from "../log/event_log.ts";
import type { EngineReport } from "../platform/engine_report.ts";
import type { ModelEngine } from "../platform/model_engine.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { ArrivalPredictor } from "./arrival_predictor.ts";
import type { LoadTarget } from "./load_target.ts";
import { findServedVersionNumber } from "./find_served_version_number.ts";
import { StagedChunks } from "./staged_chunks.ts";

/**
 * The engine runs on this host: polling it costs almost nothing, and it
 * answers within a millisecond.
 */
const POLL_INTERVAL_MILLISECONDS = 80;
const IDLE_POLL_INTERVAL_MILLISECONDS = 250;
const PERMIT_REQUEST_INTERVAL_MILLISECONDS = 150;
/**
 * Within this time gateways learn that the engine accepts no more requests.
 * Until then it may still receive some.
 */
const NOTICE_PROPAGATION_MILLISECONDS = 60;
/**
 * The longest wait, from when the engine stops accepting requests, for its
 * running and queued requests to end. The load is ordered after it even if some
 * are left; an engine usually finishes its running requests sooner.
 */
const MAX_DRAIN_MILLISECONDS = 1_500;
/** Staged weights that were verified longer ago are verified once more. */
const VERIFICATION_VALID_MILLISECONDS = 2_000;

type Options = {
  engine: ModelEngine;
  cache: WeightsCache;
  log: EventLog;
  /**
   * Once a version has been named for this long, no request may begin on older
   * weights.
   */
  weightsBoundMilliseconds: number;
  /** Versions that this host knows to have been named. */
  namedVersions: NamedVersions;
};

/**
 * Makes the engine serve the target version: writes the weights into the
 * engine's staging area, waits for a permit to stop serving, drains the
 * engine, verifies the staged weights and orders the load. An engine that
 * serves no weights, for example because it lost them, loads without a permit.
 */
export class StagedLoader {
  /**
   * The engine's serving version or start time has changed, or whether it
   * accepts requests.
   */
  readonly changed$ = new Subject<void>();
  /** The engine's report, emitted after every poll that it answers. */
  readonly report$ = new Subject<EngineReport>();
  readonly permitRequested$ = new Subject<
    { version: string; wasServing: boolean }
  >();
  /** The version that the engine has begun to serve. */
  readonly loaded$ = new Subject<string>();
  #options: Options;
  #staged: StagedChunks;
  #arrival: ArrivalPredictor;
  #target: LoadTarget | undefined;
  #permittedVersion = "";
  #requestedAt = -Infinity;
  #servingVersion = "";
  #isAccepting = true;
  #bornAt = 0;
  /** Version for which the engine was last stopped from accepting requests. */
  #drainingFor = "";
  /** When the engine was stopped for `#drainingFor`, monotonic milliseconds. */
  #drainingSince = 0;
  #isStopped = false;

  constructor(options: Options) {
    this.#options = options;
    this.#staged = new StagedChunks(options);
    this.#arrival = new ArrivalPredictor(options.cache);
  }

  start(): void {
    this.#run();
  }

  stop(): void {
    this.#isStopped = true;
  }

  get servingVersion(): string {
    return this.#servingVersion;
  }

  get isAccepting(): boolean {
    return this.#isAccepting;
  }

  get engineBornAt(): number {
    return this.#bornAt;
  }

  setTarget(model: string, versionNumber: number, version: string): void {
    const since = monotonicMilliseconds();
    this.#target = { model, versionNumber, version, since };
  }

  grantPermit(version: string): void {
    this.#permittedVersion = version;
  }

  /** Copies intact staged chunks into the cache; returns their numbers. */
  recoverStaged(manifest: WeightsManifest): Promise<number[]> {
    return this.#staged.recover(manifest);
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const isIdle = await this.#reconcile();
      await sleep(
        isIdle ? IDLE_POLL_INTERVAL_MILLISECONDS : POLL_INTERVAL_MILLISECONDS,
      );
    }
  }

  /**
   * Takes the next step towards the target. Returns whether the engine may be
   * polled at the longer interval.
   */
  async #reconcile(): Promise<boolean> {
    const { engine, log } = this.#options;
    const report = await engine.fetchReport();
    if (report.isErr) {
      log.debug("engine-silent", { reason: report.error });
      this.#updateEngineState("", 0);
      return true;
    }
    this.report$.next(report.value);
    const target = this.#target;
    const serving = findServedVersionNumber(report.value, target?.model);
    const name = serving === 0 ? "" : `${target!.model}@${serving}`;
    this.#updateEngineState(name, report.value.bornAt);
    if (target === undefined) return true;
    if (serving === target.versionNumber && !report.value.isBusy) {
      this.#finishLoad(target);
      return true;
    }
    if (report.value.isBusy) return false;
    const isStaged = await this.#staged.writeMissing(
      target.model,
      target.version,
    );
    if (serving > 0 && !this.#mayStopServing(target, serving)) {
      this.#setAccepting(true);
      return !this.#arrival.isNearlyComplete(target.version, target.since);
    }
    this.#startDraining(target);
    if (isStaged) await this.#load(target, serving);
    return false;
  }

  #updateEngineState(serving: string, bornAt: number): void {
    if (serving === this.#servingVersion && bornAt === this.#bornAt) return;
    this.#servingVersion = serving;
    this.#bornAt = bornAt;
    this.changed$.next();
  }

  #finishLoad(target: LoadTarget): void {
    if (this.#isAccepting && this.#permittedVersion === "") return;
    this.#permittedVersion = "";
    this.#setAccepting(true);
    this.loaded$.next(target.version);
    this.#options.log.info("weights-live", {
      version: target.version,
      milliseconds: Math.round(monotonicMilliseconds() - target.since),
    });
  }

  #setAccepting(accepting: boolean): void {
    if (this.#isAccepting === accepting) return;
    this.#isAccepting = accepting;
    this.changed$.next();
  }

  /**
   * Returns from when gateways send no requests to the weights that the engine
   * serves, monotonic milliseconds.
   */
  #findUnusedAt({ model, since }: LoadTarget, serving: number): number {
    const { namedVersions, weightsBoundMilliseconds } = this.#options;
    const supersededAt = Math.min(
      since,
      namedVersions.supersededAt(model, serving),
    );
    return weightsUnusedAt(supersededAt, weightsBoundMilliseconds);
  }

  /**
   * Whether the engine may stop serving to load the target: it has a permit
   * and the missing chunks are about to arrive, or no gateway sends requests
   * to its weights any more. With a permit for a superseded version, or for
   * one whose last chunks don't arrive, the engine keeps serving.
   */
  #mayStopServing(target: LoadTarget, serving: number): boolean {
    if (
      monotonicMilliseconds() > this.#findUnusedAt(target, serving)
    ) return true;
    if (!this.#arrival.isNearlyComplete(target.version, target.since)) {
      return false;
    }
    if (this.#permittedVersion === target.version) return true;
    this.#requestPermit(target.version);
    return false;
  }

  #requestPermit(version: string): void {
    const now = monotonicMilliseconds();
    if (now - this.#requestedAt <= PERMIT_REQUEST_INTERVAL_MILLISECONDS) return;
    this.#requestedAt = now;
    this.permitRequested$.next({ version, wasServing: true });
  }

  #startDraining(target: LoadTarget): void {
    if (!this.#isAccepting && this.#drainingFor === target.version) return;
    this.#drainingFor = target.version;
    this.#drainingSince = monotonicMilliseconds();
    this.#setAccepting(false);
  }

  async #load(target: LoadTarget, serving: number): Promise<void> {
    const { engine, log } = this.#options;
    const isIntact = await this.#verifyAndDrain(target, serving);
    const report = await engine.fetchReport();
    if (!isIntact || report.isErr || this.#target !== target) return;
    const { sequence } = report.value;
    const answer = await engine.load({
      model: target.model,
      version: target.versionNumber,
      sequence,
    });
    log.info("load-ordered", {
      version: target.version,
      sequence,
      running: report.value.running,
      waiting: report.value.waiting,
      outcome: answer.isOk ? answer.value : `failed: ${answer.error}`,
      since_target: Math.round(monotonicMilliseconds() - target.since),
    });
  }

  /**
   * Drains the engine and verifies the staged chunks meanwhile; returns
   * whether all of them are intact. Chunks can become corrupt in the staging
   * area, and the engine loads them unchecked. They are verified again if the
   * first verification began too long ago, for example because this process
   * was paused.
   */
  async #verifyAndDrain(target: LoadTarget, serving: number): Promise<boolean> {
    const verificationStartedAt = monotonicMilliseconds();
    const [isSound] = await Promise.all([
      this.#staged.verify(target.version),
      serving > 0 ? this.#waitForDrain(target, serving) : undefined,
    ]);
    const isFresh = monotonicMilliseconds() - verificationStartedAt <
      VERIFICATION_VALID_MILLISECONDS;
    return isSound && (isFresh || await this.#staged.verify(target.version));
  }

  async #waitForDrain(target: LoadTarget, serving: number): Promise<void> {
    const until = Math.min(
      this.#drainingSince + MAX_DRAIN_MILLISECONDS,
      this.#findUnusedAt(target, serving),
    );
    await sleep(NOTICE_PROPAGATION_MILLISECONDS);
    while (monotonicMilliseconds() < until && this.#target === target) {
      const report = await this.#options.engine.fetchReport();
      if (report.isErr) return;
      if (report.value.running + report.value.waiting === 0) return;
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }
}
