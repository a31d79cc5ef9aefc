import { AllPlaceRules } from "@teaselrouter/core/dispatch/all_place_rules.ts";
import { createDefaultTerms } from "@teaselrouter/core/dispatch/create_default_terms.ts";
import { RegionRule } from "@teaselrouter/core/dispatch/region_rule.ts";
import { UrgencyRoomPolicy } from "@teaselrouter/core/room/urgency_room_policy.ts";
import { EvacuationRule } from "@teaselrouter/core/evacuations/evacuation_rule.ts";
import { RetryBudgets } from "@teaselrouter/core/retries/retry_budgets.ts";
import { ListeningTime } from "@teaselrouter/core/gateway/listening_time.ts";
import { PatienceEstimator } from "@teaselrouter/core/gateway/patience_estimator.ts";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { filter, map, merge } from "rxjs";
import { Result } from "true-myth";
import { drainRefused } from "../http/drain_refused.ts";
import { handleInTurn } from "../http/handle_in_turn.ts";
import { boundConnections } from "../http/bound_connections.ts";
import type { CallerIntake } from "../http/caller_intake.ts";
import type { EventLog } from "../log/event_log.ts";
import { reportRoom } from "../metrics/report_room.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { PlatformAdapter } from "../platform/platform_adapter.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { FollowSet } from "../transport/follow_set.ts";
import { listen } from "../transport/listen.ts";
import { toRetryBound } from "../settings/to_retry_bound.ts";
import { decodeToldEnds } from "../transport/decode_told_ends.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { waitUntilQuiet } from "../transport/wait_until_quiet.ts";
import { BackendConnections } from "./backend_connections.ts";
import { BackendPool } from "./backend_pool.ts";
import { ColdServers } from "./cold_servers.ts";
import { ControlFeed } from "./control_feed.ts";
import { CrashReporter } from "./crash_reporter.ts";
import { CrashWatch } from "./crash_watch.ts";
import { GivenUpWatch } from "./given_up_watch.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { GatewayCount } from "./gateway_count.ts";
import { GatewayServer } from "./gateway_server.ts";
import { NamedLimits } from "./named_limits.ts";
import { ServerPushbacks } from "./server_pushbacks.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { StartHold } from "./start_hold.ts";

/**
 * Each control host sends the whole state, so one of them is enough; three, so
 * that the loss of two interrupts nothing. Three are not expected to fail
 * together.
 */
const FOLLOWED_CONTROL_HOSTS = 3;
/**
 * Shared bounds are divided among at least this many gateways, unless the bound
 * of cold servers says another number: a margin for some that no control host
 * knows of, since all of them have started anew.
 */
const MIN_GATEWAYS = 6;
const HOUSEKEEPING_INTERVAL_MILLISECONDS = 500;
/**
 * How long a stopping gateway goes on accepting connections while its readiness
 * check fails. The load balancer needs two failed checks, a second apart; the
 * rest is a margin.
 */
const BALANCER_NOTICE_MILLISECONDS = 3_000;
/**
 * How long it passes requests on: what is passed on later may outlast the grace
 * time. The margin before the port closes is for requests on their way, and for a
 * process that is slow to notice the signal.
 */
const PASS_ON_MILLISECONDS = 2_500;
const DRAIN_POLL_MILLISECONDS = 50;
/** The rest of the grace time is for answers. */
const MAX_QUIET_WAIT_MILLISECONDS = 1_500;
/**
 * The stop ends this long before the end of the grace time, after which the
 * process is killed.
 */
const GRACE_MARGIN_MILLISECONDS = 400;
/** For the refusals of what is left then; half of GRACE_MARGIN_MILLISECONDS. */
const MAX_FLUSH_MILLISECONDS = 200;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  intake: CallerIntake;
  metrics: ProcessMetrics;
  platform: PlatformAdapter;
};

/** Gateway role: sends a platform's requests directly to backend servers. */
export class GatewayApp {
  #options: Options;
  #followSet: FollowSet;
  #regionRule: RegionRule;
  #coldServers: ColdServers | undefined;
  #gatewayCount: GatewayCount;
  #context: GatewayContext;
  #room: UrgencyRoomPolicy;
  #server: GatewayServer;
  #readyServer: Server;
  #isStopping = false;
  #wasReady = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    const { settings, clients, log, intake, metrics, platform } = options;
    this.#options = options;
    this.#regionRule = new RegionRule(settings.regions);
    this.#followSet = new FollowSet({
      hello: {
        host: settings.name,
        dataCentre: settings.data_centre,
        isControl: false,
      },
      selfAddress: "",
      seeds: settings.gateway!.control_hosts,
      maxLinks: FOLLOWED_CONTROL_HOSTS,
      clients,
      log,
      initialUpdate: () => {
        const value = this.#context.crashes.currentNews();
        return value && { case: "crashes", value };
      },
    });
    const feed = new ControlFeed({
      followSet: this.#followSet,
      decodeRouting: platform.decodeRouting,
      log,
    });
    const isStopping = () => this.#isStopping;
    const startHold = new StartHold({
      configuredAt: () => feed.configuredAt,
      isStopping,
    });
    feed.updates$.subscribe(() => startHold.wakeHeldRequests());
    const connections = new BackendConnections();
    const listening = new ListeningTime();
    const pushbacks = new ServerPushbacks({
      random: Math.random,
      log,
      evacuated$: feed.evacuated$,
    });
    const crashWatch = new CrashWatch({
      hasOpenConnection: (address) => connections.hasOpen(address),
      isClosed: (announcement) => pushbacks.isClosed(announcement),
      hasDeparted: (announcement) => feed.hasDeparted(announcement),
      listStarts: (address) => feed.listStarts(address),
      backends$: feed.backends$,
      engineStarts$: feed.engineStarts$,
      log,
      metrics,
    });
    const givenUp = new GivenUpWatch({
      ended$: crashWatch.ended$,
      toldEnds$: feed.crashes$.pipe(map(decodeToldEnds)),
      backends$: feed.backends$,
      engineStarts$: feed.engineStarts$,
      hasDeparted: (announcement) => feed.hasDeparted(announcement),
      log,
      metrics,
    });
    const namedLimits = new NamedLimits({
      host: settings.name,
      backends$: feed.backends$,
      updates$: feed.limits$,
      publish: (value) => this.#followSet.broadcast({ case: "limits", value }),
      random: Math.random,
      log,
    });
    // Where a later start is known, it has been taken in as such.
    const endedServers$ = crashWatch.ended$.pipe(
      filter(({ verdict }) => verdict !== "replaced"),
      map(({ announcement }) => announcement),
    );
    const { cold_servers, retry_budget } = settings.gateway!;
    this.#gatewayCount = new GatewayCount({
      host: settings.name,
      minGateways: cold_servers?.min_gateways ?? MIN_GATEWAYS,
      feed,
      publish: (value) => this.#followSet.broadcast({ case: "gateway", value }),
      log,
    });
    const { gateways } = this.#gatewayCount;
    this.#coldServers = cold_servers && new ColdServers({
      host: settings.name,
      bound: cold_servers,
      division: gateways,
      feed,
      endedServers$,
      isConnected: () => this.#followSet.connectedCount > 0,
      log,
      metrics,
    });
    this.#room = new UrgencyRoomPolicy({
      isContested: (service) =>
        feed.table?.urgencies.contestedServices.has(service) ?? false,
      random: Math.random,
    });
    const defaults = createDefaultTerms();
    const dispatch = {
      ...defaults,
      places: new AllPlaceRules([
        this.#regionRule,
        new EvacuationRule(feed.evacuations),
      ]),
      gate: this.#coldServers?.gate ?? defaults.gate,
      room: this.#room,
    };
    this.#context = {
      feed,
      startHold,
      dispatch,
      pool: new BackendPool({
        dispatch,
        feed,
        host: settings.name,
        dataCentre: settings.data_centre,
        weightsBoundMilliseconds: settings.gateway!.weights_bound_milliseconds,
        namedLimits,
        pushbacks,
        listening,
        endedServers$,
      }),
      connections,
      intake,
      namedLimits,
      pushbacks,
      retries: new RetryBudgets({
        bound: toRetryBound(retry_budget),
        countHosts: (now) => gateways.count(now),
        now: monotonicMilliseconds(),
      }),
      patience: new PatienceEstimator(),
      silence: new SilenceWatch(listening),
      crashWatch,
      givenUp,
      crashes: new CrashReporter({
        host: settings.name,
        isConnected: () => this.#followSet.connectedCount > 0,
        ended$: merge(crashWatch.ended$, givenUp.ended$),
        updates$: feed.crashes$,
        publish: (value) =>
          this.#followSet.broadcast({ case: "crashes", value }),
        log,
      }),
      format: platform.requestFormat,
      log,
      metrics,
      random: Math.random,
      isStopping,
    };
    this.#server = new GatewayServer(this.#context);
    feed.updates$.subscribe(() => this.#server.applyLimits());
    const answerReadiness = (
      request: IncomingMessage,
      response: ServerResponse,
    ) => {
      drainRefused(request, intake);
      const isReadyRequest = request.url?.split("?")[0] === platform.readyPath;
      const status = !isReadyRequest ? 404 : this.#isReady() ? 200 : 503;
      response.writeHead(status, { "Content-Length": 0 }).end();
    };
    this.#readyServer = createServer(
      handleInTurn(answerReadiness, { intake, port: "ready" }),
    );
    boundConnections(this.#readyServer, {
      maximum: intake.share.sideConnections,
      onClosed: () => intake.countClosed("ready"),
    });
  }

  async start(): Promise<Result<void, string>> {
    const { listen: address, ready_listen } = this.#options.settings.gateway!;
    this.#followSet.start();
    const listening = await this.#server.listen(address);
    if (listening.isErr) return listening;
    this.#timer = setInterval(
      () => this.#runHousekeeping(),
      HOUSEKEEPING_INTERVAL_MILLISECONDS,
    );
    return await listen(this.#readyServer, ready_listen);
  }

  /**
   * Replaces the control hosts' addresses, the regions and the bound on retries
   * by those in the new settings; an empty list of addresses is ignored.
   */
  reload(settings: Settings): void {
    this.#followSet.setSeeds(settings.gateway?.control_hosts ?? []);
    this.#regionRule.replaceRegions(settings.regions);
    if (settings.gateway === undefined) return;
    const bound = toRetryBound(settings.gateway.retry_budget);
    this.#context.retries.replaceBound(bound, monotonicMilliseconds());
  }

  /**
   * Stops without cutting off answers. The readiness check fails first, so that
   * the load balancer sends no more requests; then requests are refused, and
   * connections are closed after
   * their answers. Resolves after the last answer, or just before the process
   * would be killed.
   */
  async stop(): Promise<void> {
    const { grace_milliseconds } = this.#options.settings.gateway!;
    const drainDeadline = monotonicMilliseconds() + grace_milliseconds -
      GRACE_MARGIN_MILLISECONDS;
    this.#isStopping = true;
    await sleep(PASS_ON_MILLISECONDS);
    this.#server.refuseNew();
    await sleep(BALANCER_NOTICE_MILLISECONDS - PASS_ON_MILLISECONDS);
    this.#options.log.info("port-closed", await this.#server.stopListening());
    this.#gatewayCount.leave();
    await waitUntilQuiet({
      lastRequestAt: () => this.#server.lastRequestAt,
      maxMilliseconds: MAX_QUIET_WAIT_MILLISECONDS,
    });
    await this.#waitUntilDrained(drainDeadline);
    this.#options.log.info("gateway-drained", {
      left: this.#server.inFlight,
    });
    this.#server.endAll();
    await this.#waitUntilDrained(
      monotonicMilliseconds() + MAX_FLUSH_MILLISECONDS,
    );
    this.#server.closeAll();
    this.#readyServer.close();
    this.#readyServer.closeAllConnections();
    clearInterval(this.#timer);
    this.#context.crashes.stop();
    this.#context.namedLimits.stop();
    this.#followSet.stop();
    this.#context.connections.close();
  }

  /** Waits for the end of all answers, or until the deadline. */
  async #waitUntilDrained(deadline: number): Promise<void> {
    while (this.#server.inFlight > 0 && monotonicMilliseconds() < deadline) {
      this.#server.closeIdle();
      await sleep(DRAIN_POLL_MILLISECONDS);
    }
  }

  #isReady(): boolean {
    return !this.#isStopping && this.#context.feed.isComplete;
  }

  #runHousekeeping(): void {
    const { feed, connections, log, metrics, retries } = this.#context;
    const now = monotonicMilliseconds();
    feed.expire();
    this.#coldServers?.observe();
    this.#gatewayCount.observe();
    retries.observe(now);
    retries.expire(now);
    metrics.evacuationsInForce.set(feed.evacuations.dataCentres.size);
    this.#context.crashes.expire();
    this.#context.crashWatch.expire();
    this.#context.givenUp.expire();
    this.#context.pushbacks.expire();
    connections.retainOnly(feed.liveAddresses());
    this.#server.applyLimits();
    reportRoom(metrics, this.#room.rooms, now);
    if (this.#isReady() === this.#wasReady) return;
    this.#wasReady = !this.#wasReady;
    log.info("readiness", { ready: this.#wasReady });
  }
}
