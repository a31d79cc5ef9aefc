import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type {
  EntryToAgent,
  NamedAge,
  WeightsTarget,
} from "@teaselrouter/messages/agent.ts";
import type { StatsD } from "hot-shots";
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import process from "node:process";
import { distinctUntilChanged, map } from "rxjs";
import type { Result } from "true-myth";
import { ChunkFetcher } from "../spread/chunk_fetcher.ts";
import { ChunkSender } from "../spread/chunk_sender.ts";
import { EntryLinks } from "../transport/entry_links.ts";
import { LinkPacer } from "../spread/link_pacer.ts";
import { SpreadClient } from "../spread/spread_client.ts";
import { WeightsCache } from "../spread/weights_cache.ts";
import type { EventLog } from "../log/event_log.ts";
import type { PlatformEdge } from "../platform/platform_edge.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { listen } from "../transport/listen.ts";
import type { ChunkChange } from "./chunk_change.ts";
import { ChunkChangeGatherer } from "./chunk_change_gatherer.ts";
import { createChunkServer } from "./create_chunk_server.ts";
import { StagedLoader } from "./staged_loader.ts";

/**
 * Part of the link that chunks may fill. Live answers share it: with all of
 * it filled their events wait in its queue for longer than clients bear.
 */
const CHUNKS_SHARE = 0.85;
const BYTES_IN_MEGABIT = 125_000;
/** Sent at a time: what a live answer may wait behind on a thin link. */
const SLICE_MILLISECONDS = 15;
const LEAST_SLICE_BYTES = 4_096;
/** A beat in 1.5 s, half of what control hosts take for silence. */
const QUIET_BEATS = 3;
/** A fraction of what a chunk takes on a thin link; the plan waits for it. */
const TELL_PLANNER_MILLISECONDS = 20;
/** The others draw a chunk across regions once, and take over a plan rarely. */
const TELL_OTHERS_MILLISECONDS = 250;
const NANOSECONDS_IN_MICROSECOND = 1_000n;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  metrics: StatsD;
  platform: PlatformEdge;
};

/** Brings weights to the model engine on this host. */
export class StagerApp {
  #options: Options;
  #incarnation = randomUUID();
  #cache = new WeightsCache();
  #spread: SpreadClient;
  #loader: StagedLoader;
  #links: EntryLinks;
  #server: Server;
  #target: { version: string; number: number } | undefined;
  #named = new NamedVersions();
  #toPlanner = new ChunkChangeGatherer(TELL_PLANNER_MILLISECONDS);
  #toOthers = new ChunkChangeGatherer(TELL_OTHERS_MILLISECONDS);

  constructor(options: Options) {
    const { settings, clients, log, metrics, platform } = options;
    const stager = settings.stager!;
    this.#options = options;
    this.#spread = new SpreadClient({
      cache: this.#cache,
      fetcher: new ChunkFetcher({
        dataCentre: settings.data_centre,
        pacer: new LinkPacer(this.#chunksRate),
        storeFormat: platform.storeFormat,
      }),
      log,
      metrics,
      random: Math.random,
      hasCoordinator: () => this.#links.coordinator !== "",
    });
    this.#loader = new StagedLoader({
      engine: platform.openEngine(stager.engine),
      cache: this.#cache,
      log,
      weightsBoundMilliseconds: stager.weights_bound_milliseconds,
      named: this.#named,
    });
    this.#links = new EntryLinks({
      addresses: stager.control_hosts,
      dataCentre: settings.data_centre,
      clients,
      ring: log.ring,
      quietBeats: QUIET_BEATS,
      takesFarPlans: true,
      greet: (address) => [
        this.#announcement(),
        ...(this.#target === undefined ? [] : [this.#wholeReport(address)]),
      ],
      beat: () => undefined,
    });
    const chunks = new ChunkSender({
      dataCentre: settings.data_centre,
      cache: this.#cache,
      link: new LinkPacer(this.#chunksRate),
      regionBytesPerSecond: 0,
      sliceBytes: this.#sliceBytes,
    });
    this.#server = createChunkServer({ chunks, log });
    this.#connectParts();
  }

  /** Bytes a second; 0 is not limited. */
  get #chunksRate(): number {
    const { link_megabits_per_second } = this.#options.settings.stager!;
    return link_megabits_per_second * BYTES_IN_MEGABIT * CHUNKS_SHARE;
  }

  get #sliceBytes(): number {
    const bytes = this.#chunksRate * SLICE_MILLISECONDS / 1_000;
    return Math.max(LEAST_SLICE_BYTES, Math.round(bytes));
  }

  async start(): Promise<Result<void, string>> {
    const listening = await listen(
      this.#server,
      this.#options.settings.stager!.listen,
    );
    if (listening.isErr) return listening;
    this.#links.start();
    this.#loader.start();
    return listening;
  }

  /** Other control hosts may be named than at the start. */
  reload(settings: Settings): void {
    if (this.#links.anyConnected !== undefined) return;
    this.#links.setAddresses(settings.stager?.control_hosts ?? []);
  }

  /** The engine goes on without it; an order under way is the engine's. */
  stop(): void {
    this.#loader.stop();
    this.#spread.stop();
    this.#toPlanner.stop();
    this.#toOthers.stop();
    this.#links.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #connectParts(): void {
    this.#links.incoming$.subscribe(({ message }) => this.#take(message));
    this.#links.coordinatorChanged$.subscribe(() => {
      if (this.#target === undefined) return;
      this.#links.broadcast((address) => this.#wholeReport(address));
    });
    this.#spread.changed$.subscribe((change) => {
      this.#toPlanner.add(change);
      this.#toOthers.add(change);
    });
    this.#toPlanner.gathered$.subscribe((change) => {
      const { coordinator } = this.#links;
      this.#links.send(coordinator, this.#report(coordinator, change));
    });
    this.#toOthers.gathered$.subscribe((change) =>
      this.#links.broadcast((address) =>
        address === this.#links.coordinator
          ? undefined
          : this.#report(address, change)
      )
    );
    this.#loader.changed$.subscribe(() =>
      this.#links.broadcast(() => this.#announcement())
    );
    this.#loader.report$.pipe(
      map(({ running, waiting }) => ({ running, queued: waiting })),
      distinctUntilChanged((left, right) =>
        left.running === right.running && left.queued === right.queued
      ),
    ).subscribe((value) => this.#sendToOne({ case: "load", value }));
    this.#loader.turnWanted$.subscribe((value) =>
      this.#sendToOne({ case: "permitRequest", value })
    );
    this.#loader.settled$.subscribe((version) =>
      this.#links.broadcast(() => ({
        case: "loadSettled",
        value: { version, fencingToken: 0, loaded: true },
      }))
    );
  }

  /** Control hosts pass it on to each other, or decide it by themselves. */
  #sendToOne(body: Parameters<EntryLinks["send"]>[1]): void {
    const address = this.#links.anyConnected;
    if (address !== undefined) this.#links.send(address, body);
  }

  #take({ body }: EntryToAgent): void {
    switch (body.case) {
      case "target":
        return this.#takeTarget(body.value);
      case "plan":
        return this.#spread.takePlan(body.value);
      case "permit":
        return this.#loader.takeTurn(body.value.version);
    }
  }

  /** Control hosts may lag: only a later version replaces the target. */
  #takeTarget(target: WeightsTarget): void {
    if (target.number <= (this.#target?.number ?? 0)) return;
    this.#target = { version: target.version, number: target.number };
    const manifest = JSON.parse(
      new TextDecoder().decode(target.manifest),
    ) as WeightsManifest;
    this.#options.log.info("weights-target", { version: target.version });
    this.#spread.setTarget(manifest, target.store);
    this.#cache.keep(new Set([versionName(manifest)]));
    this.#links.broadcast((address) => this.#wholeReport(address));
    this.#noteNamed(manifest.name, target.named);
    this.#loader.setTarget(manifest.name, target.number, target.version);
    this.#takeStaged(manifest);
  }

  #noteNamed(model: string, named: NamedAge[]): void {
    const now = monotonicMilliseconds();
    for (const { version, ageMilliseconds } of named) {
      this.#named.add(model, { version, namedAt: now - ageMilliseconds });
    }
  }

  /** What lies beside the engine already need not cross any link. */
  async #takeStaged(manifest: WeightsManifest): Promise<void> {
    const version = versionName(manifest);
    const added = await this.#loader.recoverStaged(manifest);
    this.#options.log.info("staged-chunks-found", {
      version,
      chunks: added.length,
    });
    if (added.length === 0) return;
    this.#links.broadcast((address) => this.#wholeReport(address));
  }

  #announcement() {
    const { settings } = this.#options;
    const stager = settings.stager!;
    return {
      case: "announcement" as const,
      value: {
        backendServer: settings.name,
        dataCentre: settings.data_centre,
        service: stager.service,
        incarnation: this.#incarnation,
        internalAddress: settings.internal.listen,
        chunkAddress: stager.listen,
        servingVersion: this.#loader.servingVersion,
        accepting: this.#loader.isAccepting,
        usesWeights: true,
        linkBytesPerSecond: this.#chunksRate,
        engineAddress: stager.engine,
        engineBornAt: this.#loader.engineBornAt,
        // The steady clock goes on over restarts of this process.
        sequence: Number(
          process.hrtime.bigint() / NANOSECONDS_IN_MICROSECOND,
        ),
      },
    };
  }

  #wholeReport(address: string) {
    const { version } = this.#target!;
    const added = this.#cache.wholeBlocks(version);
    return this.#report(address, { version, added, failed: [], whole: true });
  }

  #report(address: string, change: ChunkChange & { whole?: boolean }) {
    return {
      case: "chunks" as const,
      value: {
        ...change,
        whole: change.whole ?? false,
        total: this.#cache.blocks(change.version)?.count ?? 0,
        originBytes: this.#spread.originBytes,
        followsPlans: address === this.#links.coordinator,
      },
    };
  }
}
