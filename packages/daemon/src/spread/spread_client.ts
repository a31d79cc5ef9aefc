import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { SpreadPlan } from "@teaselrouter/messages/agent.ts";
import type { StatsD } from "hot-shots";
import type { Buffer } from "node:buffer";
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

/** In blocks. */
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
 * Brings a version's blocks to this host: by a coordinator's plan, and by
 * itself among the peers it knows when no plan comes.
 */
export class SpreadClient {
  /** Blocks that came in or could not be had. */
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
    for (const { chunk: block, source } of plan.orders) {
      this.#fetch(target, block, source);
    }
  }

  #goOnAlone(): void {
    const target = this.#target;
    if (target === undefined) return;
    const { cache } = this.#options;
    const held = cache.held(target.version)!;
    if (held.isComplete) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    if (this.#fetching.size > 0 || this.#isPlanned()) return;
    const missing = cache.blocks(target.version)!.missingIn(held);
    const { random } = this.#options;
    for (let count = 0; count < UNPLANNED_FETCHES; count += 1) {
      const block = missing[Math.floor(random() * missing.length)]!;
      this.#fetch(target, block, this.#pickSource());
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

  async #fetch(target: Target, block: number, source: string): Promise<void> {
    const { cache, fetcher } = this.#options;
    const { version, manifest, store, stop } = target;
    const chunks = cache.blocks(version)!.chunksOf(block).filter((chunk) =>
      cache.chunk(version, chunk) === undefined
    );
    if (chunks.length === 0) {
      return this.#tell(target, { added: [block], failed: [] });
    }
    if (this.#fetching.has(block)) return;
    if (this.#fetching.size >= MOST_FETCHES) {
      return this.#tell(target, { added: [], failed: [block] });
    }
    this.#fetching.add(block);
    const { signal } = stop;
    const want = { manifest, store, chunks, source, signal };
    const bytes = await fetcher.fetch(want);
    if (signal.aborted) return;
    this.#fetching.delete(block);
    const reason = bytes.isOk
      ? this.#takeChunks(target, chunks, bytes.value)
      : bytes.error;
    if (bytes.isOk && source === ORIGIN) this.#countDrawn(bytes.value.length);
    if (reason === undefined) {
      this.#noteWhenComplete(target);
      return this.#tell(target, { added: [block], failed: [] });
    }
    this.#noteFailure(target, { block, source, reason });
  }

  /** Keeps what is good; gives back why not all of it is. */
  #takeChunks(
    { manifest, version }: Target,
    chunks: number[],
    bytes: Buffer,
  ): string | undefined {
    const { cache } = this.#options;
    let at = 0;
    let bad = 0;
    for (const chunk of chunks) {
      const part = bytes.subarray(at, at + manifest.chunk_bytes);
      at += part.length;
      if (!cache.add(version, chunk, part)) bad += 1;
    }
    return bad === 0 ? undefined : "digest-differs";
  }

  #countDrawn(bytes: number): void {
    this.originBytes += bytes;
    this.#options.metrics.increment("weights.origin_bytes", bytes);
  }

  #noteFailure(
    target: Target,
    { block, source, reason }: {
      block: number;
      source: string;
      reason: string;
    },
  ): void {
    this.#options.log.warn("chunk-failed", {
      version: target.version,
      block,
      source: source || "origin",
      reason,
    });
    this.#aside.set(source, monotonicMilliseconds() + ASIDE_MILLISECONDS);
    this.#tell(target, { added: [], failed: [block] });
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
