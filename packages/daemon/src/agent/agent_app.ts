import type { ConnectRouter } from "@connectrpc/connect";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type {
  EntryToAgent,
  PermitGranted,
  WeightsTarget,
} from "@teaselrouter/messages/agent.ts";
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import type { CallerIntake } from "../http/caller_intake.ts";
import type { EventLog } from "../log/event_log.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { sleep } from "../transport/sleep.ts";
import { createAnnouncement } from "./create_announcement.ts";
import { AgentServer } from "./agent_server.ts";
import { AgentState } from "./agent_state.ts";
import { CallRunner } from "./call_runner.ts";
import { createCallRoutes } from "./create_call_routes.ts";
import { ChunkFetcher } from "../spread/chunk_fetcher.ts";
import { EngineClient } from "./engine_client.ts";
import { EngineLoader } from "./engine_loader.ts";
import { PermitReturns } from "./permit_returns.ts";
import { RolloutLinks } from "../transport/rollout_links.ts";
import { LinkPacer } from "../spread/link_pacer.ts";
import { rangeStoreFormat } from "../spread/range_store_format.ts";
import { SpreadClient } from "../spread/spread_client.ts";
import { WeightsCache } from "../spread/weights_cache.ts";
import type { StatsdMetrics } from "../metrics/statsd_metrics.ts";

const DRAIN_POLL_MILLISECONDS = 25;
const SILENCE_CHECK_INTERVAL_MILLISECONDS = 500;

/**
 * A heartbeat each second, as a beat is 500 ms. After 2.5 s of silence, entry
 * hosts prefer other backend servers; after 4 s, they count this one as gone.
 */
const BEATS_PER_HEARTBEAT = 2;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  intake: CallerIntake;
  metrics: StatsdMetrics;
};

/**
 * The agent, a small process on the host of a backend server. It passes calls
 * on to the backend server, fetches model weights and has the backend server
 * load them. Where it is about weights, the backend server is called the
 * engine.
 */
export class AgentApp {
  #settings: Settings;
  #log: EventLog;
  #metrics: StatsdMetrics;
  /** Id of this agent process. */
  #incarnation = randomUUID();
  #state = new AgentState();
  #cache = new WeightsCache();
  #runner: CallRunner;
  #server: AgentServer;
  #spread: SpreadClient;
  #loader: EngineLoader;
  #links: RolloutLinks;
  #permitReturns = new PermitReturns((value) => {
    const address = this.#links.anyConnectedAddress;
    if (address === undefined) return;
    this.#links.send(address, { case: "loadSettled", value });
  });
  #targetNumber = 0;
  #wasSilent = true;
  #reportedLoad = "";
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    const { settings, clients, log, intake } = options;
    const agent = settings.agent!;
    this.#settings = settings;
    this.#log = log;
    this.#metrics = options.metrics;
    const engine = new EngineClient(
      () => this.#state.backend?.address,
      this.#state.pushback,
    );
    this.#runner = new CallRunner({
      state: this.#state,
      engine,
      incarnation: this.#incarnation,
    });
    this.#server = new AgentServer({
      dataCentre: settings.data_centre,
      state: this.#state,
      cache: this.#cache,
      linkPacer: new LinkPacer(agent.link_bytes_per_second),
      dataCentreBytesPerSecond: agent.region_bytes_per_second,
      intake,
    });
    this.#spread = new SpreadClient({
      cache: this.#cache,
      fetcher: new ChunkFetcher({
        dataCentre: settings.data_centre,
        pacer: new LinkPacer(agent.link_bytes_per_second),
        weightStoreFormat: rangeStoreFormat,
      }),
      log,
      metrics: options.metrics,
      random: Math.random,
      hasCoordinator: () => this.#links.coordinator !== "",
    });
    this.#loader = new EngineLoader({
      state: this.#state,
      cache: this.#cache,
      engine,
      runner: this.#runner,
      log,
      incarnation: this.#incarnation,
      weightsAddress: agent.listen,
    });
    this.#links = new RolloutLinks({
      addresses: agent.entry_hosts,
      dataCentre: settings.data_centre,
      clients,
      timeline: log.timeline,
      createInitialMessages: (address) => this.#initialMessages(address),
      beatsPerHeartbeat: BEATS_PER_HEARTBEAT,
      createBeatMessage: () => this.#loadReportIfChanged(),
    });
    this.#subscribeParts();
  }

  routes(router: ConnectRouter): void {
    createCallRoutes(this.#runner, this.#incarnation)(router);
  }

  async start(): Promise<Result<void, string>> {
    const listening = await this.#server.listen(this.#settings.agent!.listen);
    if (listening.isErr) return listening;
    this.#links.start();
    this.#loader.start();
    this.#timer = setInterval(
      () => this.#checkSilence(),
      SILENCE_CHECK_INTERVAL_MILLISECONDS,
    );
    return Result.ok(undefined);
  }

  /**
   * Refuses new calls and waits at least `agent.drain_milliseconds`, then until
   * no call is running or queued and no answer is being read, or may be read
   * again by a reader that lost its connection. The answer of an ended call
   * whose reader left long ago, or never came, does not delay the stop.
   */
  async stop(): Promise<void> {
    this.#state.stop();
    this.#loader.stop();
    await sleep(this.#settings.agent!.drain_milliseconds);
    while (!this.#runner.isIdle || !this.#runner.isDelivered) {
      await sleep(DRAIN_POLL_MILLISECONDS);
    }
    clearInterval(this.#timer);
    this.#permitReturns.stop();
    this.#spread.stop();
    this.#links.stop();
    this.#runner.stop();
    this.#state.pushback.stop();
    this.#server.close();
  }

  #subscribeParts(): void {
    this.#state.pushback.changes$.subscribe(({ kind, ...fields }) =>
      this.#log.info("backend-server-pushback", { change: kind, ...fields })
    );
    this.#state.changed$.subscribe(() => this.#broadcastAnnouncement());
    this.#runner.lateEnds$.subscribe((value) =>
      this.#links.broadcast(() => ({ case: "backendEnded", value }))
    );
    this.#links.incoming$.subscribe(({ message }) =>
      this.#handleMessage(message)
    );
    this.#links.coordinatorChanged$.subscribe(() => this.#reportAllBlocks());
    this.#spread.changed$.subscribe((change) => {
      this.#links.broadcast((address) =>
        this.#createBlockReport(address, change)
      );
    });
    this.#loader.permitRequested$.subscribe((request) => {
      const address = this.#links.anyConnectedAddress;
      if (address === undefined) return;
      this.#links.send(address, { case: "permitRequest", value: request });
    });
    this.#loader.loadEnded$.subscribe((settled) => {
      if (settled.loaded) {
        this.#metrics.increment("weights.live");
        this.#metrics.timing(
          "weights.live_milliseconds",
          Date.now() - this.#spread.targetReceivedAt,
        );
        this.#cache.retainOnly(
          new Set([settled.version, this.#spread.targetVersion]),
        );
      }
      this.#permitReturns.add(settled);
    });
  }

  #handleMessage(message: EntryToAgent): void {
    const { body } = message;
    switch (body.case) {
      case "target":
        return this.#handleTarget(body.value);
      case "plan":
        return this.#spread.applyPlan(body.value);
      case "permit":
        return this.#handlePermit(body.value);
      case "permitReturned":
        return this.#permitReturns.confirm(body.value.fencingToken);
    }
  }

  /**
   * An entry host may lag behind others, so only a target that was published
   * later replaces the current one.
   */
  #handleTarget(target: WeightsTarget): void {
    if (target.number <= this.#targetNumber) return;
    this.#targetNumber = target.number;
    const manifest = JSON.parse(
      new TextDecoder().decode(target.manifest),
    ) as WeightsManifest;
    this.#log.info("weights-target", { version: target.version });
    this.#spread.setTarget(manifest, target.store);
    this.#loader.setTarget(target.version);
    this.#reportAllBlocks();
  }

  #handlePermit({ ageMilliseconds, ...permit }: PermitGranted): void {
    const { version, fencingToken, incarnation } = permit;
    const at = Date.now() - ageMilliseconds;
    this.#loader.receivePermit({ version, fencingToken, incarnation, at });
  }

  #broadcastAnnouncement(): void {
    if (this.#state.backend === undefined) return;
    this.#links.broadcast(() => this.#createAnnouncementMessage());
  }

  #createAnnouncementMessage() {
    const value = createAnnouncement(
      this.#settings,
      this.#state,
      this.#incarnation,
    );
    return { case: "announcement" as const, value };
  }

  #loadReportIfChanged() {
    const { load } = this.#runner;
    const loadText = JSON.stringify(load);
    if (loadText === this.#reportedLoad) return undefined;
    this.#reportedLoad = loadText;
    return { case: "load" as const, value: load };
  }

  #initialMessages(address: string) {
    if (this.#state.backend === undefined) return [];
    const announcement = this.#createAnnouncementMessage();
    return this.#spread.targetVersion === ""
      ? [announcement]
      : [announcement, this.#createFullBlockReport(address)];
  }

  #reportAllBlocks(): void {
    if (this.#spread.targetVersion === "") return;
    this.#links.broadcast((address) => this.#createFullBlockReport(address));
  }

  #createFullBlockReport(address: string) {
    const { targetVersion } = this.#spread;
    const added = this.#cache.listCompleteBlocks(targetVersion);
    const change = { version: targetVersion, added, failed: [], whole: true };
    return this.#createBlockReport(address, change);
  }

  #createBlockReport(
    address: string,
    change: {
      version: string;
      added: number[];
      failed: number[];
      whole?: boolean;
    },
  ) {
    return {
      case: "chunks" as const,
      value: {
        version: change.version,
        total: this.#cache.blocks(change.version)?.count ?? 0,
        added: change.added,
        failed: change.failed,
        whole: change.whole ?? false,
        originBytes: this.#spread.originBytes,
        followsPlans: address === this.#links.coordinator,
      },
    };
  }

  #checkSilence(): void {
    const isSilent = this.#state.isSilent(Date.now());
    if (isSilent && !this.#wasSilent) {
      this.#log.warn("backend-server-silent");
      this.#broadcastAnnouncement();
    }
    this.#wasSilent = isSilent;
  }
}
