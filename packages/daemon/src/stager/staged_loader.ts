import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import { weightsUnusedAt } from "@teaselrouter/core/rollout/weights_unused_at.ts";
import { Subject } from "rxjs";
import type { WeightsCache } from "../spread/weights_cache.ts";
import type { EventLog } from "../log/event_log.ts";
import type { EngineReport } from "../platform/engine_report.ts";
import type { ModelEngine } from "../platform/model_engine.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { pause } from "../transport/pause.ts";
import { ChunkArrival } from "./chunk_arrival.ts";
import type { LoadTarget } from "./load_target.ts";
import { servingNumber } from "./serving_number.ts";
import { StagedChunks } from "./staged_chunks.ts";

/** Asking the engine on its own host is free and answered in a millisecond. */
const STEP_MILLISECONDS = 80;
const IDLE_STEP_MILLISECONDS = 250;
const TURN_ASK_MILLISECONDS = 150;
/** Gateways hear within it that this engine takes nothing more. */
const NOTICE_MILLISECONDS = 60;
/** An engine ends what is running within it, mostly. */
const DRAIN_MILLISECONDS = 1_500;
/** Behind it the weights beside the engine are checked once more. */
const CHECKED_MILLISECONDS = 2_000;

type Options = {
  engine: ModelEngine;
  cache: WeightsCache;
  log: EventLog;
  /** After it is named no request may begin on older weights. */
  weightsBoundMilliseconds: number;
  /** Versions whose naming is known here. */
  named: NamedVersions;
};

/**
 * Brings the engine to the target version: stages complete weights beside
 * it, waits for its turn, lets it run empty, checks what lies there once
 * more, and orders the load. An engine that lost its weights gets them again
 * at once.
 */
export class StagedLoader {
  /** What is announced of the engine has changed. */
  readonly changed$ = new Subject<void>();
  /** The engine's own word on what it has, as often as it is asked. */
  readonly report$ = new Subject<EngineReport>();
  readonly turnWanted$ = new Subject<
    { version: string; wasServing: boolean }
  >();
  /** The engine serves this version now. */
  readonly settled$ = new Subject<string>();
  #options: Options;
  #staged: StagedChunks;
  #arrival: ChunkArrival;
  #target: LoadTarget | undefined;
  #turnFor = "";
  #askedAt = -Infinity;
  #servingVersion = "";
  #isAccepting = true;
  #bornAt = 0;
  /** Since when, and for which version, the engine takes nothing new. */
  #emptyingFor = "";
  #emptyingSince = 0;
  #stopped = false;

  constructor(options: Options) {
    this.#options = options;
    this.#staged = new StagedChunks(options);
    this.#arrival = new ChunkArrival(options.cache);
  }

  start(): void {
    this.#run();
  }

  stop(): void {
    this.#stopped = true;
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

  setTarget(model: string, number: number, version: string): void {
    const since = monotonicMilliseconds();
    this.#target = { model, number, version, since };
  }

  takeTurn(version: string): void {
    this.#turnFor = version;
  }

  /** Takes into the cache what lies beside the engine and is good. */
  recoverStaged(manifest: WeightsManifest): Promise<number[]> {
    return this.#staged.recover(manifest);
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const isIdle = await this.#step();
      await pause(isIdle ? IDLE_STEP_MILLISECONDS : STEP_MILLISECONDS);
    }
  }

  /** Gives back whether there is nothing to be done. */
  async #step(): Promise<boolean> {
    const { engine, log } = this.#options;
    const report = await engine.report();
    if (report.isErr) {
      log.debug("engine-silent", { reason: report.error });
      this.#noteEngine("", 0);
      return true;
    }
    this.report$.next(report.value);
    const target = this.#target;
    const serving = servingNumber(report.value, target?.model);
    const name = serving === 0 ? "" : `${target!.model}@${serving}`;
    this.#noteEngine(name, report.value.bornAt);
    if (target === undefined) return true;
    if (serving === target.number && !report.value.isBusy) {
      this.#settle(target);
      return true;
    }
    if (report.value.isBusy) return false;
    const isStaged = await this.#staged.write(target.model, target.version);
    if (serving > 0 && !this.#mayLeave(target, serving)) {
      this.#setAccepting(true);
      return !this.#arrival.isNearlyHeld(target.version, target.since);
    }
    this.#startRunningEmpty(target);
    if (isStaged) await this.#load(target, serving);
    return false;
  }

  #noteEngine(serving: string, bornAt: number): void {
    if (serving === this.#servingVersion && bornAt === this.#bornAt) return;
    this.#servingVersion = serving;
    this.#bornAt = bornAt;
    this.changed$.next();
  }

  #settle(target: LoadTarget): void {
    if (this.#isAccepting && this.#turnFor === "") return;
    this.#turnFor = "";
    this.#setAccepting(true);
    this.settled$.next(target.version);
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

  #unusedAt({ model, since }: LoadTarget, serving: number): number {
    const { named, weightsBoundMilliseconds } = this.#options;
    const overtakenAt = Math.min(since, named.overtakenAt(model, serving));
    return weightsUnusedAt(overtakenAt, weightsBoundMilliseconds);
  }

  /**
   * Whether it is to stop serving for the target: its turn has come, and the
   * rest of the weights is about to. A turn for a version that was overtaken
   * or whose last chunks don't come is no reason to stay away.
   */
  #mayLeave(target: LoadTarget, serving: number): boolean {
    if (monotonicMilliseconds() > this.#unusedAt(target, serving)) return true;
    if (!this.#arrival.isNearlyHeld(target.version, target.since)) return false;
    if (this.#turnFor === target.version) return true;
    this.#askForTurn(target.version);
    return false;
  }

  #askForTurn(version: string): void {
    const now = monotonicMilliseconds();
    if (now - this.#askedAt <= TURN_ASK_MILLISECONDS) return;
    this.#askedAt = now;
    this.turnWanted$.next({ version, wasServing: true });
  }

  #startRunningEmpty(target: LoadTarget): void {
    if (!this.#isAccepting && this.#emptyingFor === target.version) return;
    this.#emptyingFor = target.version;
    this.#emptyingSince = monotonicMilliseconds();
    this.#setAccepting(false);
  }

  async #load(target: LoadTarget, serving: number): Promise<void> {
    const { engine, log } = this.#options;
    const isSound = await this.#prepare(target, serving);
    const report = await engine.report();
    if (!isSound || report.isErr || this.#target !== target) return;
    const { sequence } = report.value;
    const answer = await engine.load({
      model: target.model,
      version: target.number,
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
   * Chunks turn bad where they lie, and the engine takes them unchecked: they
   * are read back while it runs empty, and again where that was long ago, as
   * when this process stood still in between.
   */
  async #prepare(target: LoadTarget, serving: number): Promise<boolean> {
    const checkedAt = monotonicMilliseconds();
    const [isSound] = await Promise.all([
      this.#staged.verify(target.version),
      serving > 0 ? this.#runEmpty(target, serving) : undefined,
    ]);
    const isFresh = monotonicMilliseconds() - checkedAt < CHECKED_MILLISECONDS;
    return isSound && (isFresh || await this.#staged.verify(target.version));
  }

  async #runEmpty(target: LoadTarget, serving: number): Promise<void> {
    const until = Math.min(
      this.#emptyingSince + DRAIN_MILLISECONDS,
      this.#unusedAt(target, serving),
    );
    await pause(NOTICE_MILLISECONDS);
    while (monotonicMilliseconds() < until && this.#target === target) {
      const report = await this.#options.engine.report();
      if (report.isErr) return;
      if (report.value.running + report.value.waiting === 0) return;
      await pause(STEP_MILLISECONDS);
    }
  }
}
