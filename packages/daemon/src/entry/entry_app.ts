import type { ConnectRouter } from "@connectrpc/connect";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import { PredictedWaitPolicy } from "@teaselrouter/core/routing/predicted_wait_policy.ts";
import { RetryBudgets } from "@teaselrouter/core/retries/retry_budgets.ts";
import { Router } from "@teaselrouter/core/routing/router.ts";
import { defaultSpreadOptions } from "@teaselrouter/core/spread/default_spread_options.ts";
import { RarestRanking } from "@teaselrouter/core/spread/rarest_ranking.ts";
import { PeerExchangePolicy } from "@teaselrouter/core/spread/peer_exchange_policy.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { AgentService } from "@teaselrouter/messages/agent.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { AnswerCut } from "./calls/answer_cut.ts";
import type { RefusedRetry } from "./calls/refused_retry.ts";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { CallerIntake } from "../http/caller_intake.ts";
import type { EventLog } from "../log/event_log.ts";
import type { Settings } from "../settings/settings.ts";
import { toRetryBound } from "../settings/to_retry_bound.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { nextTurn } from "../transport/next_turn.ts";
import { sleep } from "../transport/sleep.ts";
import { waitUntilQuiet } from "../transport/wait_until_quiet.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import { AgentSession } from "./sessions/agent_session.ts";
import { CallCrashDetector } from "./calls/call_crash_detector.ts";
import { CallHandler } from "./calls/call_handler.ts";
import { ControlSession } from "./sessions/control_session.ts";
import type { EntryContext } from "./entry_context.ts";
import { LimitsRegistry } from "./sessions/limits_registry.ts";
import { OperatorApi } from "./operators/operator_api.ts";
import { PermitQueue } from "./sessions/permit_queue.ts";
import type { Problem } from "../http/problem.ts";
import { PublicServer } from "./public_server.ts";
import { SpreadCoordinator } from "../rollout/spread_coordinator.ts";
import { readStatus } from "./operators/read_status.ts";
import { readTimeline } from "./operators/read_timeline.ts";
import { sendProblem } from "../http/send_problem.ts";
import { maskUnverifiedNotRun } from "./calls/mask_unverified_not_run.ts";
import type { StatsdMetrics } from "../metrics/statsd_metrics.ts";

/** A quarter of this is the delay between attempts to register. */
const REGISTRATION_RETRY_BASE_MILLISECONDS = 1_000;
const SAVING_INTERVAL_MILLISECONDS = 500;
const DRAIN_POLL_MILLISECONDS = 25;
const DEREGISTRATION_TIMEOUT_MILLISECONDS = 1_000;
/** During a stop, the longest wait for 500 ms without a new request. */
const MAX_WAIT_FOR_NO_REQUESTS_MILLISECONDS = 10_000;
/**
 * Time after registration during which this host answers calls with 503. Longer
 * than any grant that was made before the leader reserved a guaranteed share
 * for this host.
 */
const WARMUP_MILLISECONDS = 1_600;

const STARTING_PROBLEM: Problem = {
  status: 503,
  type: "starting",
  detail: "this entry host has just started and has no shares yet",
  outcome: "not-run",
  retryAfterMilliseconds: WARMUP_MILLISECONDS,
};

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  intake: CallerIntake;
  metrics: StatsdMetrics;
  processMetrics: ProcessMetrics;
};

/**
 * The entry role of a host: serves callers and operators on the public port and
 * agents on the internal one.
 */
export class EntryApp {
  #options: Options;
  #context: EntryContext;
  #coordinator: SpreadCoordinator;
  #permits: PermitQueue;
  #calls: CallHandler;
  #server: PublicServer;
  #newestSessions = new Map<string, AgentSession>();
  /** Id of this process of the entry host. */
  #incarnation = randomUUID();
  #registeredAt = Infinity;
  #stopping = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    const { settings, clients, log, metrics, intake } = options;
    const entry = settings.entry!;
    this.#options = options;
    const limits = new LimitsRegistry();
    const table = new BackendServerTable();
    const outliers = new OutlierDetector();
    const control = new ControlSession({
      identity: this.#createIdentity(),
      controlHosts: entry.control_hosts,
      clients,
      log,
      demands: () => limits.demands(Date.now()),
    });
    const policy = new PredictedWaitPolicy({
      random: Math.random,
      dataCentre: settings.data_centre,
      crossDataCentreMilliseconds: entry.crossing_milliseconds,
    });
    this.#context = {
      control,
      table,
      outliers,
      limits,
      clients,
      router: new Router({ table, outliers, policy, random: Math.random }),
      retries: new RetryBudgets({
        bound: toRetryBound(entry.retry_budget),
        countHosts: () => this.#countEntryHosts(control.state),
        now: monotonicMilliseconds(),
      }),
      crashes: new CallCrashDetector({ control, log }),
    };
    this.#coordinator = new SpreadCoordinator({
      dataCentre: settings.data_centre,
      policy: new PeerExchangePolicy({
        objective: entry.spread_weighing,
        random: Math.random,
        ranking: new RarestRanking(),
        ...defaultSpreadOptions,
      }),
    });
    this.#permits = new PermitQueue(control);
    const idleMilliseconds = entry.request_idle_milliseconds;
    this.#calls = new CallHandler(this.#context, {
      idleMilliseconds,
      intake,
      metrics,
      onAnswerCut: (cut) => this.#reportCut(cut),
      onRetryRefused: (refused) => this.#reportRefusedRetry(refused),
    });
    const operators = new OperatorApi({
      control,
      clients,
      idleMilliseconds,
      intake,
      readStatus: () => readStatus(settings, this.#context),
      readTimeline: (since) =>
        readTimeline(
          { settings, context: this.#context, timeline: log.timeline },
          since,
        ),
    });
    this.#server = new PublicServer({
      idleMilliseconds,
      intake,
      isReady: () => this.#isReady(),
      handleCall: (request, response) => this.#handleCall(request, response),
      handleOperator: (request, response) =>
        operators.handle(request, response),
      onError: (error) => log.error("call-fault", { error }),
    });
    control.changed$.subscribe((state) => this.#applyState(state));
    control.allotted$.subscribe(({ allotment, sentAt }) =>
      limits.setAllotments(allotment, sentAt, Date.now())
    );
  }

  routes(router: ConnectRouter): void {
    router.service(AgentService, {
      session: (messages) => {
        const { settings, log } = this.#options;
        const session = new AgentSession({
          host: settings.name,
          dataCentre: settings.data_centre,
          control: this.#context.control,
          table: this.#context.table,
          coordinator: this.#coordinator,
          permits: this.#permits,
          log,
          onLateEnd: ({ incarnation, requestIds }) =>
            this.#context.crashes.recordLateEnd(incarnation, requestIds),
          newestSessions: this.#newestSessions,
        });
        const outgoing = toAsyncIterable(session.outgoing$);
        const reading = (async () => {
          for await (const message of messages) session.handleMessage(message);
        })();
        reading.catch(() => undefined).finally(() => session.close());
        return outgoing;
      },
    });
  }

  async start(): Promise<Result<void, string>> {
    const address = this.#options.settings.entry!.listen;
    const listening = await this.#server.listen(address);
    if (listening.isErr) return listening;
    this.#context.control.start();
    this.#register();
    this.#timer = setInterval(
      () => this.#saveRetries(),
      SAVING_INTERVAL_MILLISECONDS,
    );
    return Result.ok(undefined);
  }

  /**
   * Shuts down gracefully. `/ready` answers 503 at once. The host stops
   * listening only after the load balancer has had time to see that, and
   * returns only after every request has been answered and its answer sent.
   */
  async stop(): Promise<void> {
    this.#stopping = true;
    await sleep(this.#options.settings.entry!.drain_milliseconds);
    this.#options.log.info("port-closed", await this.#server.stopListening());
    await this.#waitUntilDrained();
    this.#server.close();
    clearInterval(this.#timer);
    await this.#deregister();
    this.#context.control.stop();
    this.#coordinator.stop();
    this.#permits.stop();
    this.#context.crashes.stop();
    for (const session of this.#newestSessions.values()) session.close();
  }

  /**
   * Waits until no requests arrive, then until the requests in progress are done.
   * The first wait ends after MAX_WAIT_FOR_NO_REQUESTS_MILLISECONDS, as some callers
   * never pause on their keep-alive connections.
   */
  async #waitUntilDrained(): Promise<void> {
    await waitUntilQuiet({
      lastRequestAt: () => this.#server.lastRequestAt,
      maxMilliseconds: MAX_WAIT_FOR_NO_REQUESTS_MILLISECONDS,
    });
    do {
      await sleep(DRAIN_POLL_MILLISECONDS);
      await nextTurn();
    } while (this.#server.inProgress > 0);
  }

  /**
   * Informs the leader that this host has stopped. Otherwise the leader would
   * wait for the lease of a host that is gone.
   */
  async #deregister(): Promise<void> {
    await this.#context.control.propose({
      kind: "register-entry",
      ...this.#createIdentity(),
      stopped: true,
    }, DEREGISTRATION_TIMEOUT_MILLISECONDS);
  }

  #saveRetries(): void {
    const { retries } = this.#context;
    const now = monotonicMilliseconds();
    retries.observe(now);
    retries.expire(now);
  }

  #isReady(): boolean {
    return this.#isWarmedUp() && !this.#stopping;
  }

  #isWarmedUp(): boolean {
    return Date.now() - this.#registeredAt > WARMUP_MILLISECONDS;
  }

  /**
   * Refuses calls until this host has warmed up: a load balancer may send calls
   * before it has queried `/ready`.
   */
  async #handleCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#isWarmedUp()) return await this.#calls.handle(request, response);
    response.setHeader("Connection", "close");
    sendProblem(response, maskUnverifiedNotRun(request, STARTING_PROBLEM));
  }

  #createIdentity() {
    const { settings } = this.#options;
    return {
      host: settings.name,
      dataCentre: settings.data_centre,
      incarnation: this.#incarnation,
      publicAddress: settings.entry!.listen,
      internalAddress: settings.internal.listen,
    };
  }

  /**
   * Registers this host with the leader. Retries until that succeeds or the
   * replicated tables show an earlier registration. A host that was never
   * registered has no guaranteed share yet. Until the grants that were
   * made without it have expired, it must admit no calls.
   */
  async #register(): Promise<void> {
    const { control } = this.#context;
    while (!this.#stopping) {
      const reply = await control.propose({
        kind: "register-entry",
        ...this.#createIdentity(),
        stopped: false,
      });
      if (reply.kind === "committed" || this.#isRegistered()) break;
      await sleep(REGISTRATION_RETRY_BASE_MILLISECONDS / 4);
    }
    this.#registeredAt = Date.now();
    this.#options.log.info("entry-registered");
  }

  /**
   * Whether the replicated tables list this host. If so, it was registered
   * before and may use its guaranteed shares even when cut off from the leader.
   */
  /**
   * Each host that is registered, even while stopped or cut off, keeps its part;
   * one that isn't yet has none.
   */
  #countEntryHosts({ entryHosts }: ControlState): number | undefined {
    const { name } = this.#options.settings;
    return entryHosts.has(name) ? entryHosts.size : undefined;
  }

  #isRegistered(): boolean {
    const { state } = this.#context.control;
    return state.entryHosts.has(this.#options.settings.name);
  }

  #reportCut(cut: AnswerCut): void {
    const { log, processMetrics } = this.#options;
    processMetrics.answersCut.inc({ reason: cut.reason });
    log.warn("answer-cut", {
      id: cut.id,
      instances: cut.backendServer,
      reason: cut.reason,
      detail: cut.detail,
      silent_milliseconds: cut.silentMilliseconds,
      retries_left: cut.retriesLeft,
      // An answer that has begun can go on nowhere else.
      to: "none",
    });
  }

  #reportRefusedRetry(
    { service, reason, retriesLeft, sends }: RefusedRetry,
  ): void {
    const { log, processMetrics } = this.#options;
    processMetrics.retriesRefused.inc({ service, reason });
    log.info("retry-refused", {
      service,
      reason,
      retries_left: retriesLeft,
      sends,
    });
  }

  #applyState(state: ControlState): void {
    this.#context.limits.updateContracts(state, Date.now());
    this.#context.crashes.applyBlames(state);
    const versions = new Set<string>();
    for (const weights of state.weights.values()) {
      versions.add(versionName(weights.manifest));
      this.#coordinator.addVersion(weights.manifest);
    }
    this.#coordinator.keepVersions(versions);
  }
}
