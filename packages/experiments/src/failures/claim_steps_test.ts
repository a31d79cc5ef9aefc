import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { newBackendServerRow } from "@teaselrouter/core/routing/new_backend_server_row.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import { RoundRobinPolicy } from "@teaselrouter/core/routing/round_robin_policy.ts";
import { Router } from "@teaselrouter/core/routing/router.ts";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import { AgentState } from "@teaselrouter/daemon/agent/agent_state.ts";
import { CallRunner } from "@teaselrouter/daemon/agent/call_runner.ts";
import { createCallRoutes } from "@teaselrouter/daemon/agent/create_call_routes.ts";
import { EngineClient } from "@teaselrouter/daemon/agent/engine_client.ts";
import type { Proposer } from "@teaselrouter/daemon/entry/sessions/proposer.ts";
import type { ProposalReply } from "@teaselrouter/daemon/entry/sessions/proposal_reply.ts";
import { CallCrashDetector } from "@teaselrouter/daemon/entry/calls/call_crash_detector.ts";
import { EventLog } from "@teaselrouter/daemon/log/event_log.ts";
import { UnrepeatableCall } from "@teaselrouter/daemon/entry/calls/unrepeatable_call.ts";
import { ClientPool } from "@teaselrouter/daemon/transport/client_pool.ts";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { InternalServer } from "@teaselrouter/daemon/transport/internal_server.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { FakeService } from "../fakes/fake_service.ts";
import { freeAddresses } from "../harness/free_addresses.ts";

const STORY_MILLISECONDS = 60_000;
const CALL_MILLISECONDS = 60;
/** So long that a busy machine surely kills within it. */
const LONG_CALL_MILLISECONDS = 1_000;
const BODY = "pay for the wedding";

type Fault = "not-proposed" | "lost-before" | "lost-after" | undefined;

/** A log of one copy whose answers can be lost on either side. */
class FaultyLog implements Proposer {
  readonly state = createEmptyControlState();
  faults: Partial<Record<Command["kind"], Fault>> = {};
  #index = 0;

  propose(command: Command): Promise<ProposalReply> {
    const fault = this.faults[command.kind];
    delete this.faults[command.kind];
    if (fault === "not-proposed") {
      return Promise.resolve({ kind: "not-proposed" });
    }
    if (fault === "lost-before") return Promise.resolve({ kind: "unknown" });
    this.#index += 1;
    const result = applyCommand(this.state, command, this.#index);
    if (fault === "lost-after") return Promise.resolve({ kind: "unknown" });
    return Promise.resolve({
      kind: "committed",
      index: this.#index,
      result,
      inForce: true,
      hostsWithoutLease: [],
    });
  }
}

/** One agent process with its service; it can be replaced by a new one. */
class ClaimBench {
  readonly log = new FaultyLog();
  readonly table = new BackendServerTable();
  readonly clients = new ClientPool();
  service: FakeService;
  agentState = new AgentState();
  #addresses: string[];
  #server: InternalServer | undefined;
  #runner: CallRunner | undefined;
  #row: BackendServerRow;

  constructor(addresses: string[], callMilliseconds: number) {
    this.#addresses = addresses;
    this.service = new FakeService({
      address: addresses[1]!,
      agentAddress: addresses[2]!,
      service: "ledger",
      repeatable: false,
      slots: 2,
      callMilliseconds,
    });
    this.#row = newBackendServerRow({
      backendServer: "ledger-1",
      dataCentre: "van",
      service: "ledger",
      incarnation: "first",
      internalAddress: addresses[0]!,
      chunkAddress: "",
      checksFencing: false,
      repeatable: false,
      usesWeights: false,
      slots: 2,
      servingVersion: "",
      accepting: true,
      linkBytesPerSecond: 0,
    }, Date.now() + STORY_MILLISECONDS);
    this.table.set(this.#row);
  }

  async start(): Promise<void> {
    await this.service.start();
    await this.startAgent("first");
  }

  async startAgent(incarnation: string): Promise<void> {
    this.agentState = new AgentState();
    this.agentState.recordAnnouncement({
      service: "ledger",
      address: this.#addresses[1]!,
      checks_fencing: false,
      repeatable: false,
      uses_weights: false,
      slots: 2,
    }, Date.now() + STORY_MILLISECONDS);
    this.#runner = new CallRunner({
      state: this.agentState,
      engine: new EngineClient(() => undefined),
      incarnation,
    });
    this.#server = new InternalServer({
      routes: createCallRoutes(this.#runner, incarnation),
    });
    await this.#server.listen(this.#addresses[0]!);
    this.#row.incarnation = incarnation;
  }

  killAgent(): void {
    this.#server!.close();
    this.#runner!.stop();
    this.clients.dropConnection(this.#addresses[0]!);
  }

  stop(): void {
    this.killAgent();
    this.service.stop();
    this.clients.close();
  }

  /** The caller asks, through any entry host: they share only the log. */
  async ask(milliseconds = 4_000): Promise<string> {
    const outliers = new OutlierDetector();
    const policy = new RoundRobinPolicy();
    const { log: control, table, clients } = this;
    const crashes = new CallCrashDetector({
      control,
      log: new EventLog("entry", "error"),
    });
    const call = new UnrepeatableCall({
      control,
      crashes,
      table,
      clients,
      router: new Router({ table, outliers, policy }),
    }, {
      workspace: "desk",
      service: "ledger",
      path: "/pay",
      body: Buffer.from(BODY),
      contentType: "text/plain",
      idempotencyKey: "order-1",
      deadlineMilliseconds: milliseconds,
      priority: 5,
      receivedAt: Date.now(),
    });
    const outcome = await call.run();
    crashes.stop();
    return outcome.kind === "answered"
      ? outcome.answer.body.toString("utf8")
      : outcome.problem.outcome;
  }

  get runs(): number {
    return this.service.ran.length;
  }
}

function step(
  name: string,
  story: (bench: ClaimBench) => Promise<void>,
  callMilliseconds = CALL_MILLISECONDS,
): void {
  test(name, async () => {
    const bench = new ClaimBench(await freeAddresses(3), callMilliseconds);
    await bench.start();
    try {
      await story(bench);
    } finally {
      bench.stop();
    }
  });
}

const ANSWER = FakeService.answerTo(BODY);

step(
  "the claim is not proposed: not run, and free to ask again",
  async (bench) => {
    bench.log.faults = { claim: "not-proposed" };
    assert.equal(await bench.ask(), "not-run");
    assert.equal(bench.runs, 0);
    assert.equal(await bench.ask(), ANSWER);
    assert.equal(bench.runs, 1);
  },
);

step("the claim's proposal is lost on its way", async (bench) => {
  bench.log.faults = { claim: "lost-before" };
  assert.equal(await bench.ask(), "unknown");
  assert.equal(await bench.ask(), ANSWER);
  assert.equal(bench.runs, 1);
});

step("the claim stands but its answer is lost", async (bench) => {
  // Story: the entry host never learns that its claim was accepted, or dies
  // just then. Asked again, the agent is asked, promises never to run the
  // lost claim, and the call is claimed anew.
  bench.log.faults = { claim: "lost-after" };
  assert.equal(await bench.ask(), "unknown");
  assert.equal(bench.runs, 0);
  assert.equal(await bench.ask(), ANSWER);
  assert.equal(bench.runs, 1);
});

step("the caller gives up while the call runs", async (bench) => {
  assert.equal(await bench.ask(30), "unknown");
  assert.equal(await bench.ask(), ANSWER);
  assert.equal(bench.runs, 1);
});

step("the outcome's record is lost on its way", async (bench) => {
  bench.log.faults = { "settle-claim": "lost-before" };
  assert.equal(await bench.ask(), "unknown");
  assert.equal(await bench.ask(), ANSWER);
  assert.equal(bench.runs, 1);
});

step(
  "the outcome is recorded but the answer to that is lost",
  async (bench) => {
    bench.log.faults = { "settle-claim": "lost-after" };
    assert.equal(await bench.ask(), "unknown");
    assert.equal(await bench.ask(), ANSWER);
    assert.equal(bench.runs, 1);
  },
);

step("the agent is killed before the call reaches it", async (bench) => {
  bench.killAgent();
  assert.equal(await bench.ask(2_000), "unknown");
  await bench.startAgent("second");
  // Only the dead process could have told whether it had run.
  assert.equal(await bench.ask(), "unknown");
  assert.equal(bench.runs, 0);
});

step("the agent is killed while the call runs", async (bench) => {
  const asking = bench.ask(2_000);
  while (bench.runs === 0) await pause(2);
  bench.killAgent();
  assert.equal(await asking, "unknown");
  await bench.startAgent("second");
  assert.equal(await bench.ask(), "unknown");
  assert.equal(bench.runs, 1);
}, LONG_CALL_MILLISECONDS);

step("the agent is killed after the answer was recorded", async (bench) => {
  assert.equal(await bench.ask(), ANSWER);
  bench.killAgent();
  await bench.startAgent("second");
  assert.equal(await bench.ask(), ANSWER);
  assert.equal(bench.runs, 1);
});

step(
  "the agent refuses: not run, withdrawn, and free to ask again",
  async (bench) => {
    bench.agentState.stop();
    assert.equal(await bench.ask(), "not-run");
    assert.equal(bench.log.state.claims.size, 0);
    assert.equal(bench.runs, 0);
  },
);

step(
  "the withdrawal's record is lost: unknown, then run once",
  async (bench) => {
    bench.agentState.setLoading(true);
    bench.log.faults = { "cancel-claim": "lost-before" };
    assert.equal(await bench.ask(), "unknown");
    bench.agentState.setLoading(false);
    assert.equal(await bench.ask(), ANSWER);
    assert.equal(bench.runs, 1);
  },
);

step("many ask at once with one key", async (bench) => {
  const answers = await Promise.all(
    Array.from({ length: 8 }, () => bench.ask()),
  );
  assert.deepEqual([...new Set(answers)], [ANSWER]);
  assert.equal(bench.runs, 1);
});
