import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { SpreadPlan } from "@teaselrouter/messages/agent.ts";
import type { Buffer } from "node:buffer";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ChunkFetcher } from "./chunk_fetcher.ts";
import type { WeightsCache } from "./weights_cache.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { StatsdMetrics } from "../metrics/statsd_metrics.ts";

const ORIGIN = "";
const NO_COORDINATOR_TIMEOUT_MILLISECONDS = 2_000;
const IDLE_COORDINATOR_TIMEOUT_MILLISECONDS = 30_000;
const CHECK_INTERVAL_MILLISECONDS = 250;
const MAX_UNPLANNED_FETCHES = 2;
const MAX_CONCURRENT_FETCHES = 16;
/**
 * Fetches without a plan don't use a source from which a fetch failed for so
 * long, but use the origin if no other source is left. Plans ignore this.
 */
const SOURCE_AVOIDANCE_MILLISECONDS = 10_000;

type Target = {
  manifest: WeightsManifest;
  version: string;
  store: string;
  startedAt: number;
  abortController: AbortController;
};

/** Numbers of blocks that were fetched, or whose fetch failed. */
type BlockChange = { version: string; added: number[]; failed: number[] };

type Options = {
  cache: WeightsCache;
  fetcher: ChunkFetcher;
  log: EventLog;
  metrics: StatsdMetrics;
  random: () => number;
  /**
   * Whether the entry host or control host that plans for this host is
   * connected.
   */
  hasCoordinator: () => boolean;
};

/**
 * Fetches the blocks of the target version to this host: as the coordinator's
 * plans say, and without plans from the origin and the last known peers.
 */
export class SpreadClient {
  /** Blocks that were fetched, or whose fetch failed. */
  readonly changed$ = new Subject<BlockChange>();
  originBytes = 0;
  #options: Options;
  #target: Target | undefined;
  #fetching = new Set<number>();
  #peers: string[] = [];
  #plannedAt = 0;
  #avoidedUntil = new Map<string, number>();
  /** Runs while the target version is incomplete. */
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#target?.abortController.abort();
  }

  /**
   * When this host received the target, monotonic milliseconds; the current
   * time without a target.
   */
  get targetReceivedAt(): number {
    return this.#target?.startedAt ?? monotonicMilliseconds();
  }

  get targetVersion(): string {
    return this.#target?.version ?? "";
  }

  /**
   * Starts to fetch a version, and aborts the fetches of the version that it
   * supersedes.
   */
  setTarget(manifest: WeightsManifest, store: string): void {
    const version = versionName(manifest);
    if (this.#target?.version === version) return;
    this.#target?.abortController.abort();
    this.#fetching = new Set();
    const startedAt = monotonicMilliseconds();
    const abortController = new AbortController();
    this.#target = {
      manifest,
      version,
      store,
      startedAt,
      abortController,
    };
    this.#plannedAt = startedAt;
    this.#options.cache.begin(manifest);
    this.#timer ??= setInterval(
      () => this.#fetchUnplanned(),
      CHECK_INTERVAL_MILLISECONDS,
    );
  }

  applyPlan(plan: SpreadPlan): void {
    const target = this.#target;
    if (target === undefined || plan.version !== target.version) return;
    this.#plannedAt = monotonicMilliseconds();
    this.#peers = plan.peers;
    for (const { chunk: block, source } of plan.orders) {
      this.#fetch(target, block, source);
    }
  }

  #fetchUnplanned(): void {
    const target = this.#target;
    if (target === undefined) return;
    const { cache } = this.#options;
    const held = cache.heldChunks(target.version)!;
    if (held.isComplete) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    if (this.#fetching.size > 0 || this.#isWaitingForPlan()) return;
    const missing = cache.blocks(target.version)!.incompleteBlocks(held);
    const { random } = this.#options;
    for (let count = 0; count < MAX_UNPLANNED_FETCHES; count += 1) {
      const block = missing[Math.floor(random() * missing.length)]!;
      this.#fetch(target, block, this.#pickSource());
    }
  }

  /**
   * Whether to go on waiting for a plan. A connected coordinator may send no
   * plan for a while, as when a block is delayed on a slow link: fetching the
   * block from the origin then would cost a second copy. A coordinator that is
   * not connected is given up much sooner.
   */
  #isWaitingForPlan(): boolean {
    const timeoutMilliseconds = this.#options.hasCoordinator()
      ? IDLE_COORDINATOR_TIMEOUT_MILLISECONDS
      : NO_COORDINATOR_TIMEOUT_MILLISECONDS;
    return monotonicMilliseconds() - this.#plannedAt < timeoutMilliseconds;
  }

  #pickSource(): string {
    const now = monotonicMilliseconds();
    const usable = [...this.#peers, ORIGIN].filter((source) =>
      (this.#avoidedUntil.get(source) ?? 0) < now
    );
    const index = Math.floor(this.#options.random() * usable.length);
    return usable[index] ?? ORIGIN;
  }

  async #fetch(target: Target, block: number, source: string): Promise<void> {
    const { cache, fetcher } = this.#options;
    const { version, manifest, store, abortController } = target;
    const chunks = cache.blocks(version)!.chunksOf(block).filter((chunk) =>
      cache.chunk(version, chunk) === undefined
    );
    if (chunks.length === 0) {
      return this.#emitChange(target, { added: [block], failed: [] });
    }
    if (this.#fetching.has(block)) return;
    if (this.#fetching.size >= MAX_CONCURRENT_FETCHES) {
      return this.#emitChange(target, { added: [], failed: [block] });
    }
    this.#fetching.add(block);
    const { signal } = abortController;
    const request = { manifest, store, chunks, source, signal };
    const bytes = await fetcher.fetch(request);
    if (signal.aborted) return;
    this.#fetching.delete(block);
    const reason = bytes.isOk
      ? this.#storeChunks(target, chunks, bytes.value)
      : bytes.error;
    if (bytes.isOk && source === ORIGIN) this.#countOrigin(bytes.value.length);
    if (reason === undefined) {
      this.#reportIfComplete(target);
      return this.#emitChange(target, { added: [block], failed: [] });
    }
    this.#handleFailure(target, { block, source, reason });
  }

  /**
   * Stores the chunks whose digests match. Returns the reason for the failure
   * if one doesn't match, otherwise undefined.
   */
  #storeChunks(
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

  #countOrigin(bytes: number): void {
    this.originBytes += bytes;
    this.#options.metrics.increment("weights.origin_bytes", bytes);
  }

  #handleFailure(
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
    this.#avoidedUntil.set(
      source,
      monotonicMilliseconds() + SOURCE_AVOIDANCE_MILLISECONDS,
    );
    this.#emitChange(target, { added: [], failed: [block] });
  }

  #reportIfComplete(target: Target): void {
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

  #emitChange(
    target: Target,
    change: { added: number[]; failed: number[] },
  ): void {
    this.changed$.next({ version: target.version, ...change });
  }
}
