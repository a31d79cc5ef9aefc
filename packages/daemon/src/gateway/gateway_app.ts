import { SharedRetryBudget } from "@teaselrouter/core/gateway/shared_retry_budget.ts";
import { UsualPatience } from "@teaselrouter/core/gateway/usual_patience.ts";
import { createServer, type Server } from "node:http";
import { map } from "rxjs";
import { Result } from "true-myth";
import type { EventLog } from "../log/event_log.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { PlatformEdge } from "../platform/platform_edge.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { FollowSet } from "../transport/follow_set.ts";
import { listen } from "../transport/listen.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { pause } from "../transport/pause.ts";
import { BackendConnections } from "./backend_connections.ts";
import { BackendPool } from "./backend_pool.ts";
import { ControlFeed } from "./control_feed.ts";
import { CrashReporter } from "./crash_reporter.ts";
import { CrashWatch } from "./crash_watch.ts";
import { GatewayServer } from "./gateway_server.ts";
import type { GatewayWorld } from "./gateway_world.ts";
import { NamedLimits } from "./named_limits.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { StartHold } from "./start_hold.ts";

/** Any of these knows all; three are never lost together. */
const FOLLOWED_CONTROL_HOSTS = 3;
/** Extra sends that one host may save up for a bad moment. */
const SAVED_RETRIES = 8;
const HOUSEKEEPING_MILLISECONDS = 500;
/** Two missed questions of the balancer, a second apart, and some more. */
const BALANCER_MILLISECONDS = 3_000;
const DRAIN_POLL_MILLISECONDS = 50;
/** Kept back from the time until the process is killed. */
const GRACE_MARGIN_MILLISECONDS = 400;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  counted: ProcessMetrics;
  platform: PlatformEdge;
};

/** A gateway: takes a platform's requests to backend servers directly. */
export class GatewayApp {
  #options: Options;
  #follows: FollowSet;
  #world: GatewayWorld;
  #server: GatewayServer;
  #readyServer: Server;
  #isStopping = false;
  #wasReady = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    const { settings, clients, log, counted, platform } = options;
    this.#options = options;
    this.#follows = new FollowSet({
      hello: {
        host: settings.name,
        dataCentre: settings.data_centre,
        isControl: false,
      },
      selfAddress: "",
      seeds: settings.gateway!.control_hosts,
      most: FOLLOWED_CONTROL_HOSTS,
      clients,
      log,
      standingNews: () => {
        const value = this.#world.crashes.standing();
        return value && { case: "crashes", value };
      },
    });
    const feed = new ControlFeed({
      follows: this.#follows,
      decodeRouting: platform.decodeRouting,
      log,
    });
    const isStopping = () => this.#isStopping;
    const startHold = new StartHold({
      configuredAt: () => feed.configuredAt,
      isStopping,
    });
    feed.news$.subscribe(() => startHold.noteNews());
    const connections = new BackendConnections();
    const crashWatch = new CrashWatch({
      hasOpenConnection: (address) => connections.hasOpen(address),
      backends$: feed.backends$,
      log,
    });
    const namedLimits = new NamedLimits({
      host: settings.name,
      backends$: feed.backends$,
      news$: feed.limits$,
      tell: (value) => this.#follows.tell({ case: "limits", value }),
      random: Math.random,
      log,
    });
    this.#world = {
      feed,
      startHold,
      pool: new BackendPool({
        feed,
        host: settings.name,
        dataCentre: settings.data_centre,
        weightsBoundMilliseconds: settings.gateway!.weights_bound_milliseconds,
        namedLimits,
        endedServers$: crashWatch.ended$.pipe(map(({ standing }) => standing)),
      }),
      connections,
      namedLimits,
      retries: new SharedRetryBudget({
        ratio: settings.gateway!.retry_ratio,
        mostSaved: SAVED_RETRIES,
      }),
      patience: new UsualPatience(),
      silence: new SilenceWatch(),
      crashWatch,
      crashes: new CrashReporter({
        ended$: crashWatch.ended$,
        news$: feed.crashes$,
        tell: (value) => this.#follows.tell({ case: "crashes", value }),
        log,
      }),
      format: platform.requestFormat,
      log,
      counted,
      random: Math.random,
      isStopping,
    };
    this.#server = new GatewayServer(this.#world);
    this.#readyServer = createServer((request, response) => {
      const asked = request.url?.split("?")[0] === platform.readyPath;
      const status = !asked ? 404 : this.#isReady() ? 200 : 503;
      response.writeHead(status, { "Content-Length": 0 }).end();
    });
  }

  async start(): Promise<Result<void, string>> {
    const { listen: address, ready_listen } = this.#options.settings.gateway!;
    this.#follows.start();
    const listening = await this.#server.listen(address);
    if (listening.isErr) return listening;
    this.#timer = setInterval(
      () => this.#keepHouse(),
      HOUSEKEEPING_MILLISECONDS,
    );
    return await listen(this.#readyServer, ready_listen);
  }

  /** Other control hosts may be named than at the start. */
  reload(settings: Settings): void {
    this.#follows.setSeeds(settings.gateway?.control_hosts ?? []);
  }

  /**
   * A planned stop cuts off nothing: first the balancer is told, then
   * connections are closed behind their answers, and the process ends with
   * the last of them or just ahead of its kill.
   */
  async stop(): Promise<void> {
    const { grace_milliseconds } = this.#options.settings.gateway!;
    const until = monotonicMilliseconds() + grace_milliseconds -
      GRACE_MARGIN_MILLISECONDS;
    this.#isStopping = true;
    await pause(BALANCER_MILLISECONDS);
    this.#server.stopListening();
    while (this.#server.underWay > 0 && monotonicMilliseconds() < until) {
      this.#server.closeIdle();
      await pause(DRAIN_POLL_MILLISECONDS);
    }
    this.#options.log.info("gateway-drained", {
      left: this.#server.underWay,
    });
    this.#server.closeAll();
    this.#readyServer.close();
    this.#readyServer.closeAllConnections();
    clearInterval(this.#timer);
    this.#world.crashes.stop();
    this.#world.namedLimits.stop();
    this.#follows.stop();
    this.#world.connections.close();
  }

  #isReady(): boolean {
    return !this.#isStopping && this.#world.feed.isComplete;
  }

  #keepHouse(): void {
    const { feed, connections, log } = this.#world;
    feed.forget();
    this.#world.crashes.forget();
    connections.keep(feed.liveAddresses());
    this.#server.adoptLimits();
    if (this.#isReady() === this.#wasReady) return;
    this.#wasReady = !this.#wasReady;
    log.info("readiness", { ready: this.#wasReady });
  }
}
