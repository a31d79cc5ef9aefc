import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { SpreadPlan } from "@teaselrouter/messages/agent.ts";
import type { StatsD } from "hot-shots";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ChunkFetcher } from "./chunk_fetcher.ts";
import type { WeightsCache } from "./weights_cache.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const ORIGIN = "";
const UNPLANNED_MILLISECONDS = 2_000;
const FORGOTTEN_MILLISECONDS = 30_000;
const CHECK_MILLISECONDS = 250;
const UNPLANNED_FETCHES = 2;
const MOST_FETCHES = 16;
const ASIDE_MILLISECONDS = 10_000;

type Target = {
  manifest: WeightsManifest;
  version: string;
  store: string;
  startedAt: number;
  stop: AbortController;
};

type Change = { version: string; added: number[]; failed: number[] };

type Options = {
  cache: WeightsCache;
  fetcher: ChunkFetcher;
  log: EventLog;
  metrics: StatsD;
  random: () => number;
  /** Whether an entry host that plans for this agent is connected. */
  hasCoordinator: () => boolean;
};

/**
 * Brings a version's chunks to this host: by a coordinator's plan, and by
 * itself among the peers it knows when no plan comes.
 */
export class SpreadClient {
  /** Chunks that came in or could not be had. */
  readonly changed$ = new Subject<Change>();
  originBytes = 0;
  #options: Options;
  #target: Target | undefined;
  #fetching = new Set<number>();
  #peers: string[] = [];
  #plannedAt = 0;
  #aside = new Map<string, number>();
  /** Runs while chunks are missing. */
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#target?.stop.abort();
  }

  /** Since when the target is known here, milliseconds. */
  get targetSince(): number {
    return this.#target?.startedAt ?? monotonicMilliseconds();
  }

  get version(): string {
    return this.#target?.version ?? "";
  }

  /** Turns to a version; what an overtaken one was fetching is left. */
  setTarget(manifest: WeightsManifest, store: string): void {
    const version = versionName(manifest);
    if (this.#target?.version === version) return;
    this.#target?.stop.abort();
    this.#fetching = new Set();
    const startedAt = monotonicMilliseconds();
    const stop = new AbortController();
    this.#target = { manifest, version, store, startedAt, stop };
    this.#plannedAt = startedAt;
    this.#options.cache.begin(manifest);
    this.#timer ??= setInterval(() => this.#goOnAlone(), CHECK_MILLISECONDS);
  }

  takePlan(plan: SpreadPlan): void {
    const target = this.#target;
    if (target === undefined || plan.version !== target.version) return;
    this.#plannedAt = monotonicMilliseconds();
    this.#peers = plan.peers;
    for (const { chunk, source } of plan.orders) {
      this.#fetch(target, chunk, source);
    }
  }

  #goOnAlone(): void {
    const target = this.#target;
    if (target === undefined) return;
    const held = this.#options.cache.held(target.version)!;
    if (held.isComplete) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    if (this.#fetching.size > 0 || this.#isPlanned()) return;
    const missing = held.missing();
    const { random } = this.#options;
    for (let count = 0; count < UNPLANNED_FETCHES; count += 1) {
      const chunk = missing[Math.floor(random() * missing.length)]!;
      this.#fetch(target, chunk, this.#pickSource());
    }
  }

  /**
   * A coordinator that is there may have nothing to order for a while, as
   * when a chunk waits for a thin link: drawing it from the origin then would
   * cost a second copy. Only one that is gone is not waited for.
   */
  #isPlanned(): boolean {
    const patience = this.#options.hasCoordinator()
      ? FORGOTTEN_MILLISECONDS
      : UNPLANNED_MILLISECONDS;
    return monotonicMilliseconds() - this.#plannedAt < patience;
  }

  #pickSource(): string {
    const now = monotonicMilliseconds();
    const usable = [...this.#peers, ORIGIN].filter((source) =>
      (this.#aside.get(source) ?? 0) < now
    );
    const index = Math.floor(this.#options.random() * usable.length);
    return usable[index] ?? ORIGIN;
  }

  async #fetch(target: Target, chunk: number, source: string): Promise<void> {
    const { cache, fetcher, log, metrics } = this.#options;
    const { version, manifest, store, stop } = target;
    if (cache.chunk(version, chunk) !== undefined) {
      return this.#tell(target, { added: [chunk], failed: [] });
    }
    if (this.#fetching.has(chunk)) return;
    if (this.#fetching.size >= MOST_FETCHES) {
      return this.#tell(target, { added: [], failed: [chunk] });
    }
    this.#fetching.add(chunk);
    const startedAt = monotonicMilliseconds();
    const bytes = await fetcher.fetch({
      manifest,
      store,
      chunk,
      source,
      signal: stop.signal,
    });
    if (stop.signal.aborted) return;
    this.#fetching.delete(chunk);
    if (bytes.isOk && source === ORIGIN) {
      this.originBytes += bytes.value.length;
      metrics.increment("weights.origin_bytes", bytes.value.length);
    }
    const good = bytes.isOk && cache.add(version, chunk, bytes.value);
    if (good) {
      log.debug("chunk-held", {
        version,
        chunk,
        source: source || "origin",
        milliseconds: Math.round(monotonicMilliseconds() - startedAt),
      });
      this.#noteWhenComplete(target);
      return this.#tell(target, { added: [chunk], failed: [] });
    }
    const reason = bytes.isOk ? "digest-differs" : bytes.error;
    log.warn("chunk-failed", {
      version,
      chunk,
      source: source || "origin",
      reason,
    });
    this.#aside.set(source, monotonicMilliseconds() + ASIDE_MILLISECONDS);
    this.#tell(target, { added: [], failed: [chunk] });
  }

  #noteWhenComplete(target: Target): void {
    const { cache, log, metrics } = this.#options;
    if (!cache.isComplete(target.version)) return;
    const milliseconds = monotonicMilliseconds() - target.startedAt;
    metrics.timing("weights.complete_milliseconds", milliseconds);
    log.info("weights-complete", {
      version: target.version,
      milliseconds,
      origin_bytes: this.originBytes,
    });
  }

  #tell(target: Target, change: { added: number[]; failed: number[] }): void {
    this.changed$.next({ version: target.version, ...change });
  }
}
