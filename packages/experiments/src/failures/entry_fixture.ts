import { createTestIntake } from "@teaselrouter/daemon/http/intake_fixture.ts";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { createBackendServerRow } from "@teaselrouter/core/routing/create_backend_server_row.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import { createSavedRetries } from "@teaselrouter/core/retries/saved_retries_fixture.ts";
import { RoundRobinPolicy } from "@teaselrouter/core/routing/round_robin_policy.ts";
import { Router } from "@teaselrouter/core/routing/router.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import { AgentState } from "@teaselrouter/daemon/agent/agent_state.ts";
import { CallRunner } from "@teaselrouter/daemon/agent/call_runner.ts";
import { createCallRoutes } from "@teaselrouter/daemon/agent/create_call_routes.ts";
import { EngineClient } from "@teaselrouter/daemon/agent/engine_client.ts";
import type { AnswerCut } from "@teaselrouter/daemon/entry/calls/answer_cut.ts";
import { CallCrashDetector } from "@teaselrouter/daemon/entry/calls/call_crash_detector.ts";
import { CallHandler } from "@teaselrouter/daemon/entry/calls/call_handler.ts";
import { PublicServer } from "@teaselrouter/daemon/entry/public_server.ts";
import type { ControlSession } from "@teaselrouter/daemon/entry/sessions/control_session.ts";
import { LimitsRegistry } from "@teaselrouter/daemon/entry/sessions/limits_registry.ts";
import { EventLog } from "@teaselrouter/daemon/log/event_log.ts";
import type { StatsdMetrics } from "@teaselrouter/daemon/metrics/statsd_metrics.ts";
import { ClientPool } from "@teaselrouter/daemon/transport/client_pool.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { InternalServer } from "@teaselrouter/daemon/transport/internal_server.ts";
import { monotonicMilliseconds } from "@teaselrouter/daemon/transport/monotonic_milliseconds.ts";
import { createServer, type RequestListener } from "node:http";
import { Relay } from "../harness/relay.ts";

const SAVED_RETRIES = 10;
const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 60_000;
const IDLE_MILLISECONDS = 2_000;
/** Until the rate limit, which begins empty, lets some calls through. */
const LIMIT_FILL_MILLISECONDS = 200;
const POLL_MILLISECONDS = 25;
const SERVICE = "portal";

/**
 * One entry host's handling of calls and one agent, in this process, with a
 * relay between them. The backend server is the test's own listener.
 */
export class EntryFixture {
  readonly state = createEmptyControlState();
  readonly clients = new ClientPool();
  readonly relay: Relay;
  /** What was counted, by name and tags. */
  readonly counts: Record<string, number> = {};
  readonly faults: unknown[] = [];
  readonly cuts: AnswerCut[] = [];
  readonly calls: CallHandler;
  readonly server: PublicServer;
  readonly address: string;
  readonly limits = new LimitsRegistry();
  #agentState = new AgentState();
  #agentServer: InternalServer;
  #runner: CallRunner;
  #backend;
  #backendAddress: string;
  #agentAddress: string;
  #crashes: CallCrashDetector;

  constructor(addresses: string[], backend: RequestListener) {
    [this.address, this.#agentAddress, this.#backendAddress] = addresses as [
      string,
      string,
      string,
    ];
    this.relay = new Relay(addresses[3]!, this.#agentAddress);
    this.#backend = createServer(backend);
    this.#agentState.recordAnnouncement({
      service: SERVICE,
      address: this.#backendAddress,
      checks_fencing: false,
      repeatable: true,
      uses_weights: false,
      slots: 8,
    }, Date.now() + ANNOUNCEMENT_LIFETIME_MILLISECONDS);
    this.#runner = new CallRunner({
      state: this.#agentState,
      engine: new EngineClient(() => undefined, this.#agentState.pushback),
      incarnation: "first",
    });
    this.#agentServer = new InternalServer({
      intake: createTestIntake(),
      routes: createCallRoutes(this.#runner, "first"),
    });
    const log = new EventLog("entry", "error");
    const control = { state: this.state } as unknown as ControlSession;
    this.#crashes = new CallCrashDetector({ control, log });
    this.calls = new CallHandler(this.#createContext(control), {
      intake: createTestIntake(),
      idleMilliseconds: IDLE_MILLISECONDS,
      metrics: this.#createMetrics(),
      onAnswerCut: (cut) => this.cuts.push(cut),
      onRetryRefused: () => undefined,
    });
    this.server = new PublicServer({
      intake: createTestIntake(),
      idleMilliseconds: IDLE_MILLISECONDS,
      isReady: () => true,
      handleCall: (request, response) => this.calls.handle(request, response),
      handleOperator: () => Promise.resolve(),
      onError: (error) => this.faults.push(error),
    });
  }

  async start(): Promise<void> {
    const [host, port] = this.#backendAddress.split(":");
    await new Promise<void>((resolve) =>
      this.#backend.listen(Number(port), host, resolve)
    );
    await this.relay.start();
    await this.#agentServer.listen(this.#agentAddress);
    await this.server.listen(this.address);
    this.setContract({});
    await sleep(LIMIT_FILL_MILLISECONDS);
  }

  async stop(): Promise<void> {
    await this.server.stopListening();
    this.server.close();
    this.clients.close();
    this.#crashes.stop();
    this.#runner.stop();
    this.#agentServer.close();
    this.relay.stop();
    this.#backend.close();
    this.#backend.closeAllConnections();
  }

  /** How many calls the agent has under way at the backend server. */
  get runningCalls(): number {
    return this.#runner.load.running;
  }

  /** Ends the agent as its process does at a planned stop. */
  async stopAgent(): Promise<void> {
    this.#agentState.stop();
    while (!this.#runner.isIdle || !this.#runner.isDelivered) {
      await sleep(POLL_MILLISECONDS);
    }
    this.#agentServer.close();
  }

  /** Puts a contract in force; its fields are the usual ones but for these. */
  setContract(
    { retired = false, services = [SERVICE], ...content }: {
      retired?: boolean;
      requests_per_second?: number;
      burst?: number;
      services?: readonly string[];
      maximum_body_bytes?: number;
    },
  ): void {
    this.state.contracts.set("desk", {
      workspace: "desk",
      number: 1,
      content: {
        requests_per_second: 100,
        burst: 100,
        guaranteed_share: 1,
        deadline_milliseconds: 5_000,
        priority: 5,
        maximum_body_bytes: 1_048_576,
        services: [...services],
        ...content,
      },
      retired,
      highestFloor: 0,
      history: [],
    });
    this.limits.updateContracts(this.state, Date.now());
  }

  #createContext(control: ControlSession) {
    const table = new BackendServerTable();
    table.set(createBackendServerRow({
      backendServer: "portal-1",
      dataCentre: "van",
      service: SERVICE,
      incarnation: "first",
      internalAddress: this.relay.address,
      chunkAddress: "",
      checksFencing: false,
      repeatable: true,
      usesWeights: false,
      slots: 8,
      servingVersion: "",
      accepting: true,
      linkBytesPerSecond: 0,
    }, Date.now() + ANNOUNCEMENT_LIFETIME_MILLISECONDS));
    const outliers = new OutlierDetector();
    const policy = new RoundRobinPolicy();
    return {
      control,
      table,
      outliers,
      limits: this.limits,
      clients: this.clients,
      retries: createSavedRetries({
        retries: SAVED_RETRIES,
        ratio: 0.16,
        now: monotonicMilliseconds(),
      }),
      crashes: this.#crashes,
      router: new Router({ table, outliers, policy, random: Math.random }),
    };
  }

  #createMetrics(): StatsdMetrics {
    const count = (name: string, _value = 1, tags: object = {}) => {
      const key = [name, ...Object.values(tags)].join(" ");
      this.counts[key] = (this.counts[key] ?? 0) + 1;
    };
    return {
      increment: count,
      timing: () => undefined,
    } as unknown as StatsdMetrics;
  }
}
