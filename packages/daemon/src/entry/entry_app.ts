import type { ConnectRouter } from "@connectrpc/connect";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import { PredictedWaitPolicy } from "@teaselrouter/core/routing/predicted_wait_policy.ts";
import { RetryBudget } from "@teaselrouter/core/routing/retry_budget.ts";
import { Router } from "@teaselrouter/core/routing/router.ts";
import { defaultSpreadOptions } from "@teaselrouter/core/spread/default_spread_options.ts";
import { RarestRanking } from "@teaselrouter/core/spread/rarest_ranking.ts";
import { SwapPolicy } from "@teaselrouter/core/spread/swap_policy.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { AgentService } from "@teaselrouter/messages/agent.ts";
import type { StatsD } from "hot-shots";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { EventLog } from "../log/event_log.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { pause } from "../transport/pause.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import { AgentSession } from "./sessions/agent_session.ts";
import { CallCrashes } from "./calls/call_crashes.ts";
import { CallHandler } from "./calls/call_handler.ts";
import { ControlSession } from "./sessions/control_session.ts";
import type { EntryWorld } from "./entry_world.ts";
import { LimitsRegistry } from "./sessions/limits_registry.ts";
import { OperatorApi } from "./operators/operator_api.ts";
import { PermitQueue } from "./sessions/permit_queue.ts";
import type { Problem } from "../http/problem.ts";
import { PublicServer } from "./public_server.ts";
import { SpreadCoordinator } from "../rollout/spread_coordinator.ts";
import { readStatus } from "./operators/read_status.ts";
import { readTimeline } from "./operators/read_timeline.ts";
import { sendProblem } from "../http/send_problem.ts";
import { withoutPromise } from "./calls/without_promise.ts";

const REGISTER_MILLISECONDS = 1_000;
const POLL_MILLISECONDS = 25;
const GOODBYE_MILLISECONDS = 1_000;
const MOST_QUIET_MILLISECONDS = 10_000;
/** Longer than any grant that was made before this host had a floor. */
const SETTLING_MILLISECONDS = 1_600;

const STARTING: Problem = {
  status: 503,
  type: "starting",
  detail: "this entry host has just started and has no shares yet",
  outcome: "not-run",
  retryAfterMilliseconds: SETTLING_MILLISECONDS,
};

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  metrics: StatsD;
};

/** An entry host: callers, operators and agents meet here. */
export class EntryApp {
  #options: Options;
  #world: EntryWorld;
  #coordinator: SpreadCoordinator;
  #permits: PermitQueue;
  #calls: CallHandler;
  #server: PublicServer;
  #owners = new Map<string, AgentSession>();
  #incarnation = randomUUID();
  #registeredAt = Infinity;
  #stopping = false;

  constructor(options: Options) {
    const { settings, clients, log, metrics } = options;
    const entry = settings.entry!;
    this.#options = options;
    const limits = new LimitsRegistry();
    const table = new BackendServerTable();
    const outliers = new OutlierDetector();
    const control = new ControlSession({
      hello: this.#hello(),
      controlHosts: entry.control_hosts,
      clients,
      log,
      demands: () => limits.demands(Date.now()),
    });
    const policy = new PredictedWaitPolicy({
      random: Math.random,
      dataCentre: settings.data_centre,
      crossingMilliseconds: entry.crossing_milliseconds,
    });
    this.#world = {
      control,
      table,
      outliers,
      limits,
      clients,
      router: new Router({ table, outliers, policy }),
      retries: new RetryBudget(),
      crashes: new CallCrashes({ control, log }),
    };
    this.#coordinator = new SpreadCoordinator({
      dataCentre: settings.data_centre,
      policy: new SwapPolicy({
        weighing: entry.spread_weighing,
        random: Math.random,
        ranking: new RarestRanking(),
        ...defaultSpreadOptions,
      }),
    });
    this.#permits = new PermitQueue(control);
    const idleMilliseconds = entry.request_idle_milliseconds;
    this.#calls = new CallHandler(this.#world, { idleMilliseconds, metrics });
    const operators = new OperatorApi({
      control,
      clients,
      idleMilliseconds,
      readStatus: () => readStatus(settings, this.#world),
      readTimeline: (since) =>
        readTimeline({ settings, world: this.#world, ring: log.ring }, since),
    });
    this.#server = new PublicServer({
      idleMilliseconds,
      isReady: () => this.#isReady(),
      handleCall: (request, response) => this.#takeCall(request, response),
      handleOperator: (request, response) =>
        operators.handle(request, response),
      onFault: (error) => log.error("call-fault", { error }),
    });
    control.changed$.subscribe((state) => this.#follow(state));
    control.allotted$.subscribe(({ allotment, sentAt }) =>
      limits.allot(allotment, sentAt, Date.now())
    );
  }

  routes(router: ConnectRouter): void {
    router.service(AgentService, {
      session: (messages) => {
        const { settings, log } = this.#options;
        const session = new AgentSession({
          host: settings.name,
          dataCentre: settings.data_centre,
          control: this.#world.control,
          table: this.#world.table,
          coordinator: this.#coordinator,
          permits: this.#permits,
          log,
          owners: this.#owners,
        });
        const outgoing = toAsyncIterable(session.outgoing$);
        const reading = (async () => {
          for await (const message of messages) session.take(message);
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
    this.#world.control.start();
    this.#register();
    return Result.ok(undefined);
  }

  /**
   * `/ready` answers 503 from the first moment; listening ends only when the
   * balancer has had time to see it, the process when every call is answered.
   */
  async stop(): Promise<void> {
    this.#stopping = true;
    await pause(this.#options.settings.entry!.drain_milliseconds);
    this.#server.stopListening();
    await this.#untilDone();
    this.#server.close();
    await this.#sayStopped();
    this.#world.control.stop();
    this.#coordinator.stop();
    this.#permits.stop();
    this.#world.crashes.stop();
    for (const session of this.#owners.values()) session.close();
  }

  /** Callers that never pause on kept connections are not waited for. */
  async #untilDone(): Promise<void> {
    const until = Date.now() + MOST_QUIET_MILLISECONDS;
    while (!this.#server.isQuiet(Date.now()) && Date.now() < until) {
      await pause(POLL_MILLISECONDS);
    }
    while (this.#calls.inProgress > 0) await pause(POLL_MILLISECONDS);
  }

  /** Or a leader would wait for the lease of a host that is gone. */
  async #sayStopped(): Promise<void> {
    await this.#world.control.propose({
      kind: "register-entry",
      ...this.#hello(),
      stopped: true,
    }, GOODBYE_MILLISECONDS);
  }

  #isReady(): boolean {
    return this.#isSettled() && !this.#stopping;
  }

  #isSettled(): boolean {
    return Date.now() - this.#registeredAt > SETTLING_MILLISECONDS;
  }

  /** A balancer may send calls before it has asked whether this is ready. */
  async #takeCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#isSettled()) return await this.#calls.handle(request, response);
    response.setHeader("Connection", "close");
    sendProblem(response, withoutPromise(request, STARTING));
  }

  #hello() {
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
   * A host that was never registered has no floor of its own yet: until the
   * grants made without it have run out, it must let nothing through.
   */
  async #register(): Promise<void> {
    const { control } = this.#world;
    while (!this.#stopping) {
      const reply = await control.propose({
        kind: "register-entry",
        ...this.#hello(),
        stopped: false,
      });
      if (reply.kind === "committed" || this.#isKnown()) break;
      await pause(REGISTER_MILLISECONDS / 4);
    }
    this.#registeredAt = Date.now();
    this.#options.log.info("entry-registered");
  }

  /** Cut off, but registered before: it goes on with its floors. */
  #isKnown(): boolean {
    const { state } = this.#world.control;
    return state.entryHosts.has(this.#options.settings.name);
  }

  #follow(state: ControlState): void {
    this.#world.limits.follow(state, Date.now());
    this.#world.crashes.follow(state);
    const versions = new Set<string>();
    for (const weights of state.weights.values()) {
      versions.add(versionName(weights.manifest));
      this.#coordinator.addVersion(weights.manifest);
    }
    this.#coordinator.keepVersions(versions);
  }
}
