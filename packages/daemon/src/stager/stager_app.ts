import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type {
  EntryToAgent,
  NamedAge,
  WeightsTarget,
} from "@teaselrouter/messages/agent.ts";
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import process from "node:process";
import { distinctUntilChanged, map } from "rxjs";
import type { Result } from "true-myth";
import { ChunkFetcher } from "../spread/chunk_fetcher.ts";
import { ChunkSender } from "../spread/chunk_sender.ts";
import { RolloutLinks } from "../transport/rollout_links.ts";
import { SpreadClient } from "../spread/spread_client.ts";
import { WeightsCache } from "../spread/weights_cache.ts";
import type { CallerIntake } from "../http/caller_intake.ts";
import type { EventLog } from "../log/event_log.ts";
import type { PlatformAdapter } from "../platform/platform_adapter.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { listen } from "../transport/listen.ts";
import type { BlockChange } from "./block_change.ts";
import { BlockChangeBatcher } from "./block_change_batcher.ts";
import { ChunkPacers } from "./chunk_pacers.ts";
import { createChunkServer } from "./create_chunk_server.ts";
import { StagedLoader } from "./staged_loader.ts";
import type { StatsdMetrics } from "../metrics/statsd_metrics.ts";

const BYTES_PER_MEGABIT = 125_000;
/**
 * Transfer time of one slice of a chunk, which is how long a live response can
 * wait behind chunk data on a slow link.
 */
const SLICE_MILLISECONDS = 15;
const MIN_SLICE_BYTES = 4_096;
/**
 * With a beat every 500 ms, a heartbeat goes out every 1.5 s, half the silence
 * after which a control host closes the session.
 */
const BEATS_PER_HEARTBEAT = 3;
/**
 * The coordinator's next plan waits for these reports, so the delay is only a
 * fraction of a chunk's transfer time on a slow link.
 */
const COORDINATOR_BATCH_MILLISECONDS = 20;
/**
 * Control hosts other than the coordinator need the reports less urgently: only
 * to plan transfers between data centres, one for each block, and to take over
 * planning when the coordinator is lost, which is rare.
 */
const OTHERS_BATCH_MILLISECONDS = 250;
const NANOSECONDS_PER_MICROSECOND = 1_000n;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  intake: CallerIntake;
  metrics: StatsdMetrics;
  platform: PlatformAdapter;
};

/**
 * The stager role: fetches weights to this host, serves their chunks to other
 * stagers, and makes the model engine on this host load them.
 */
export class StagerApp {
  #options: Options;
  /** Id of this process of the stager. */
  #incarnation = randomUUID();
  #cache = new WeightsCache();
  #spread: SpreadClient;
  #loader: StagedLoader;
  #links: RolloutLinks;
  #server: Server;
  #target: { version: string; number: number } | undefined;
  #namedVersions = new NamedVersions();
  #pacers: ChunkPacers;
  #coordinatorBatcher = new BlockChangeBatcher(COORDINATOR_BATCH_MILLISECONDS);
  #othersBatcher = new BlockChangeBatcher(OTHERS_BATCH_MILLISECONDS);

  constructor(options: Options) {
    const { settings, clients, log, intake, metrics, platform } = options;
    const stager = settings.stager!;
    this.#options = options;
    this.#pacers = new ChunkPacers({
      linkBytesPerSecond: stager.link_megabits_per_second * BYTES_PER_MEGABIT,
      idleShare: stager.idle_chunk_link_share,
    });
    this.#spread = new SpreadClient({
      cache: this.#cache,
      fetcher: new ChunkFetcher({
        dataCentre: settings.data_centre,
        pacer: this.#pacers.receiving,
        weightStoreFormat: platform.weightStoreFormat,
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
      namedVersions: this.#namedVersions,
    });
    this.#links = new RolloutLinks({
      addresses: stager.control_hosts,
      dataCentre: settings.data_centre,
      clients,
      timeline: log.timeline,
      beatsPerHeartbeat: BEATS_PER_HEARTBEAT,
      allowsRemoteCoordinator: true,
      createInitialMessages: (address) => [
        this.#buildAnnouncement(),
        ...(this.#target === undefined ? [] : [this.#buildFullReport(address)]),
      ],
      createBeatMessage: () => undefined,
    });
    const chunkSender = new ChunkSender({
      dataCentre: settings.data_centre,
      cache: this.#cache,
      linkPacer: this.#pacers.sending,
      dataCentreBytesPerSecond: 0,
      sliceBytes: this.#sliceBytes,
    });
    this.#server = createChunkServer({ chunkSender, log, intake });
    this.#connectParts();
  }

  get #sliceBytes(): number {
    const bytes = this.#pacers.servingBytesPerSecond * SLICE_MILLISECONDS /
      1_000;
    return Math.max(MIN_SLICE_BYTES, Math.round(bytes));
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

  /**
   * Takes the control hosts from changed settings, unless one is connected:
   * connected control hosts send the current addresses themselves.
   */
  reload(settings: Settings): void {
    if (this.#links.anyConnectedAddress !== undefined) return;
    this.#links.setAddresses(settings.stager?.control_hosts ?? []);
  }

  /**
   * Stops this process's work. The engine keeps running, and completes a load
   * that was already ordered.
   */
  stop(): void {
    this.#loader.stop();
    this.#spread.stop();
    this.#coordinatorBatcher.stop();
    this.#othersBatcher.stop();
    this.#links.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #connectParts(): void {
    this.#links.incoming$.subscribe(({ message }) =>
      this.#handleMessage(message)
    );
    this.#links.coordinatorChanged$.subscribe(() => {
      if (this.#target === undefined) return;
      this.#links.broadcast((address) => this.#buildFullReport(address));
    });
    this.#spread.changed$.subscribe((change) => {
      this.#coordinatorBatcher.add(change);
      this.#othersBatcher.add(change);
    });
    this.#coordinatorBatcher.batches$.subscribe((change) => {
      const { coordinator } = this.#links;
      this.#links.send(coordinator, this.#buildReport(coordinator, change));
    });
    this.#othersBatcher.batches$.subscribe((change) =>
      this.#links.broadcast((address) =>
        address === this.#links.coordinator
          ? undefined
          : this.#buildReport(address, change)
      )
    );
    this.#loader.changed$.subscribe(() => {
      this.#pacers.update({ acceptsRequests: this.#loader.isAccepting });
      this.#links.broadcast(() => this.#buildAnnouncement());
    });
    this.#loader.report$.subscribe(({ running, waiting }) =>
      this.#pacers.update({ requests: running + waiting })
    );
    this.#loader.report$.pipe(
      map(({ running, waiting }) => ({ running, queued: waiting })),
      distinctUntilChanged((left, right) =>
        left.running === right.running && left.queued === right.queued
      ),
    ).subscribe((value) => this.#sendToAnyControlHost({ case: "load", value }));
    this.#loader.permitRequested$.subscribe((value) =>
      this.#sendToAnyControlHost({ case: "permitRequest", value })
    );
    this.#loader.loaded$.subscribe((version) =>
      this.#links.broadcast(() => ({
        case: "loadSettled",
        value: { version, fencingToken: 0, loaded: true },
      }))
    );
  }

  /**
   * Sends a message that only one control host needs to receive: it forwards
   * the message to the others or decides alone.
   */
  #sendToAnyControlHost(body: Parameters<RolloutLinks["send"]>[1]): void {
    const address = this.#links.anyConnectedAddress;
    if (address !== undefined) this.#links.send(address, body);
  }

  #handleMessage({ body }: EntryToAgent): void {
    switch (body.case) {
      case "target":
        return this.#handleTarget(body.value);
      case "plan":
        return this.#spread.applyPlan(body.value);
      case "permit":
        return this.#loader.grantPermit(body.value.version);
    }
  }

  /**
   * Ignores a version that is not later than the current target's: control
   * hosts may lag behind one another.
   */
  #handleTarget(target: WeightsTarget): void {
    if (target.number <= (this.#target?.number ?? 0)) return;
    this.#target = { version: target.version, number: target.number };
    const manifest = JSON.parse(
      new TextDecoder().decode(target.manifest),
    ) as WeightsManifest;
    this.#options.log.info("weights-target", { version: target.version });
    this.#spread.setTarget(manifest, target.store);
    this.#cache.retainOnly(new Set([versionName(manifest)]));
    this.#links.broadcast((address) => this.#buildFullReport(address));
    this.#recordNamedVersions(manifest.name, target.named);
    this.#loader.setTarget(manifest.name, target.number, target.version);
    this.#recoverStagedChunks(manifest);
  }

  #recordNamedVersions(model: string, named: NamedAge[]): void {
    const now = monotonicMilliseconds();
    for (const { version, ageMilliseconds } of named) {
      this.#namedVersions.add(model, {
        version,
        namedAt: now - ageMilliseconds,
      });
    }
  }

  /**
   * Uses chunks that are already in the engine's staging area, so that they
   * need not be fetched over the network.
   */
  async #recoverStagedChunks(manifest: WeightsManifest): Promise<void> {
    const version = versionName(manifest);
    const added = await this.#loader.recoverStaged(manifest);
    this.#options.log.info("staged-chunks-found", {
      version,
      chunks: added.length,
    });
    if (added.length === 0) return;
    this.#links.broadcast((address) => this.#buildFullReport(address));
  }

  #buildAnnouncement() {
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
        linkBytesPerSecond: this.#pacers.servingBytesPerSecond,
        engineAddress: stager.engine,
        engineBornAt: this.#loader.engineBornAt,
        // The monotonic clock isn't reset when this process restarts, so the
        // sequence still rises.
        sequence: Number(
          process.hrtime.bigint() / NANOSECONDS_PER_MICROSECOND,
        ),
      },
    };
  }

  #buildFullReport(address: string) {
    const { version } = this.#target!;
    const added = this.#cache.listCompleteBlocks(version);
    return this.#buildReport(address, {
      version,
      added,
      failed: [],
      whole: true,
    });
  }

  #buildReport(address: string, change: BlockChange & { whole?: boolean }) {
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
