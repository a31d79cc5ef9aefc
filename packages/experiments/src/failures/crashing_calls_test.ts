import { createTestIntake } from "@teaselrouter/daemon/http/intake_fixture.ts";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { createBackendServerRow } from "@teaselrouter/core/routing/create_backend_server_row.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import { createSavedRetries } from "@teaselrouter/core/retries/saved_retries_fixture.ts";
import { RoundRobinPolicy } from "@teaselrouter/core/routing/round_robin_policy.ts";
import { Router } from "@teaselrouter/core/routing/router.ts";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import { AgentState } from "@teaselrouter/daemon/agent/agent_state.ts";
import { CallRunner } from "@teaselrouter/daemon/agent/call_runner.ts";
import { createCallRoutes } from "@teaselrouter/daemon/agent/create_call_routes.ts";
import { EngineClient } from "@teaselrouter/daemon/agent/engine_client.ts";
import { CallCrashDetector } from "@teaselrouter/daemon/entry/calls/call_crash_detector.ts";
import type { CheckedCall } from "@teaselrouter/daemon/entry/calls/checked_call.ts";
import { RepeatableCall } from "@teaselrouter/daemon/entry/calls/repeatable_call.ts";
import type { Problem } from "@teaselrouter/daemon/http/problem.ts";
import { EventLog } from "@teaselrouter/daemon/log/event_log.ts";
import { ClientPool } from "@teaselrouter/daemon/transport/client_pool.ts";
import { InternalServer } from "@teaselrouter/daemon/transport/internal_server.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { monotonicMilliseconds } from "@teaselrouter/daemon/transport/monotonic_milliseconds.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashingService } from "../fakes/crashing_service.ts";
import { findFreeAddresses } from "../harness/find_free_addresses.ts";

const SAVED_RETRIES = 10;
const CRASHING_BODY = "crash";
const SERVER_COUNT = 4;
const ENTRY_HOST_COUNT = 2;
const ROUND_COUNT = 8;
const ROUND_MILLISECONDS = 400;
const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 60_000;
/**
 * One entry host sees three crashes; the other sees two before it receives the
 * blame through the replicated tables.
 */
const MAX_CRASHES = 5;

/**
 * A replicated log that applies each command at once and passes the new state
 * to its followers, one per entry host.
 */
class InMemoryLog {
  readonly state = createEmptyControlState();
  readonly followers: CallCrashDetector[] = [];
  #index = 0;

  propose(command: Command) {
    this.#index += 1;
    const index = this.#index;
    const result = applyCommand(this.state, command, index);
    for (const follower of this.followers) follower.applyBlames(this.state);
    return Promise.resolve({
      kind: "committed" as const,
      index,
      result,
      inForce: true,
      hostsWithoutLease: [],
    });
  }
}

/** 4 backend servers with their agents, and 2 entry hosts that share the log. */
class CrashFixture {
  readonly services: CrashingService[] = [];
  readonly crashes: CallCrashDetector[] = [];
  #table = new BackendServerTable();
  #clients = new ClientPool();
  #runners: CallRunner[] = [];
  #servers: InternalServer[] = [];
  #log = new InMemoryLog();

  async start(): Promise<void> {
    for (let index = 0; index < SERVER_COUNT; index += 1) {
      await this.#startServer(`portal-${index}`);
    }
    const log = new EventLog("entry", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    });
    for (let index = 0; index < ENTRY_HOST_COUNT; index += 1) {
      this.crashes.push(new CallCrashDetector({ control: this.#log, log }));
    }
    this.#log.followers.push(...this.crashes);
  }

  stop(): void {
    for (const runner of this.#runners) runner.stop();
    for (const server of this.#servers) server.close();
    for (const service of this.services) service.stop();
    for (const crashes of this.crashes) crashes.stop();
    this.#clients.close();
  }

  get crashCount(): number {
    return this.services.reduce((sum, { crashCount }) => sum + crashCount, 0);
  }

  /**
   * Handles a call as entry host number `host` does. Returns the problem that
   * the caller would get, or undefined if the call was answered.
   */
  async handleCall(host: number, body: string): Promise<Problem | undefined> {
    const crashes = this.crashes[host]!;
    const call = createCall(body);
    const refusal = crashes.checkBlame(call);
    if (refusal !== undefined) return refusal;
    const outliers = new OutlierDetector();
    const policy = new RoundRobinPolicy();
    const table = this.#table;
    return await new RepeatableCall(
      {
        state: () => this.#log.state,
        router: new Router({ table, outliers, policy, random: Math.random }),
        outliers,
        retries: createSavedRetries({
          retries: SAVED_RETRIES,
          ratio: 0.16,
          now: monotonicMilliseconds(),
        }),
        clients: this.#clients,
        crashes,
      },
      call,
      createStubResponse(),
    ).run();
  }

  async #startServer(name: string): Promise<void> {
    const [address, agentAddress] = await findFreeAddresses(2);
    const service = new CrashingService({
      address: address!,
      crashBody: CRASHING_BODY,
    });
    await service.start();
    this.services.push(service);
    const state = new AgentState();
    state.recordAnnouncement({
      service: "portal",
      address: address!,
      checks_fencing: false,
      repeatable: true,
      uses_weights: false,
      slots: 2,
    }, Date.now() + ANNOUNCEMENT_LIFETIME_MILLISECONDS);
    const runner = new CallRunner({
      state,
      engine: new EngineClient(() => undefined, state.pushback),
      incarnation: name,
    });
    this.#runners.push(runner);
    const server = new InternalServer({
      intake: createTestIntake(),
      routes: createCallRoutes(runner, name),
    });
    await server.listen(agentAddress!);
    this.#servers.push(server);
    this.#table.set(createBackendServerRow({
      backendServer: name,
      dataCentre: "here",
      service: "portal",
      incarnation: name,
      internalAddress: agentAddress!,
      chunkAddress: "",
      checksFencing: false,
      repeatable: true,
      usesWeights: false,
      slots: 2,
      servingVersion: "",
      accepting: true,
      linkBytesPerSecond: 0,
    }, Date.now() + ANNOUNCEMENT_LIFETIME_MILLISECONDS));
  }
}

function createCall(body: string): CheckedCall {
  return {
    workspace: "desk",
    service: "portal",
    path: "/look",
    body: Buffer.from(body),
    contentType: "text/plain",
    idempotencyKey: "",
    deadlineMilliseconds: 3_000,
    priority: 5,
    receivedAt: Date.now(),
  };
}

function createStubResponse(): ServerResponse {
  return Object.assign(new EventEmitter(), {
    headersSent: false,
    setHeader: () => undefined,
    write: () => true,
    end: () => undefined,
  }) as unknown as ServerResponse;
}

// Guards against a call that crashes all backend servers of a service: its
// caller retries through every entry host, and each sends it to another server.
test("a call that crashes backend servers is refused by every entry host", async () => {
  const fixture = new CrashFixture();
  try {
    await fixture.start();
    const answers = [];
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      answers.push(
        await fixture.handleCall(round % ENTRY_HOST_COUNT, CRASHING_BODY),
      );
      await sleep(ROUND_MILLISECONDS);
    }
    assert.ok(
      fixture.crashCount <= MAX_CRASHES,
      `${fixture.crashCount} crashes`,
    );
    assert.ok(fixture.crashCount >= 3);
    assert.deepEqual(
      answers.slice(-ENTRY_HOST_COUNT).map((problem) => problem?.type),
      Array.from({ length: ENTRY_HOST_COUNT }, () => "ends-backend-servers"),
    );
    assert.equal(await fixture.handleCall(0, "a bag list"), undefined);
  } finally {
    fixture.stop();
  }
});

// Guards against reporting a call as not run although a backend server had
// begun to run it before it crashed.
test("a call during which a backend server crashed is reported as unknown", async () => {
  const fixture = new CrashFixture();
  try {
    await fixture.start();
    const problem = await fixture.handleCall(0, CRASHING_BODY);
    assert.ok(fixture.crashCount > 0);
    assert.equal(problem?.outcome, "unknown");
  } finally {
    fixture.stop();
  }
});
