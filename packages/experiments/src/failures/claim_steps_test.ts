import { createTestIntake } from "@teaselrouter/daemon/http/intake_fixture.ts";
import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { createBackendServerRow } from "@teaselrouter/core/routing/create_backend_server_row.ts";
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
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { InternalServer } from "@teaselrouter/daemon/transport/internal_server.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { FakeService } from "../fakes/fake_service.ts";
import { findFreeAddresses } from "../harness/find_free_addresses.ts";
import { Relay } from "../harness/relay.ts";

const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 60_000;
const CALL_MILLISECONDS = 60;
/** Long enough for the agent to be killed during the call on a busy machine. */
const LONG_CALL_MILLISECONDS = 1_000;
const CALL_BODY = "pay for the wedding";

/**
 * How a proposal fails: it is refused, it is lost before it is applied, or it
 * is applied and the reply is lost.
 */
type Fault = "not-proposed" | "proposal-lost" | "reply-lost" | undefined;

/**
 * A replicated log with a single member. Each entry of `faults` fails the next
 * proposal of one kind of command.
 */
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
    if (fault === "proposal-lost") return Promise.resolve({ kind: "unknown" });
    this.#index += 1;
    const result = applyCommand(this.state, command, this.#index);
    if (fault === "reply-lost") return Promise.resolve({ kind: "unknown" });
    return Promise.resolve({
      kind: "committed",
      index: this.#index,
      result,
      inForce: true,
      hostsWithoutLease: [],
    });
  }
}

/**
 * One agent process and its service. The test can kill the agent and start
 * another incarnation of it.
 */
class ClaimFixture {
  readonly log = new FaultyLog();
  readonly table = new BackendServerTable();
  readonly clients = new ClientPool();
  service: FakeService;
  agentState = new AgentState();
  /** Before the agent. */
  readonly relay: Relay;
  #addresses: string[];
  #server: InternalServer | undefined;
  #runner: CallRunner | undefined;
  #row: BackendServerRow;

  constructor(addresses: string[], callMilliseconds: number) {
    this.#addresses = addresses;
    this.relay = new Relay(addresses[3]!, addresses[0]!);
    this.service = new FakeService({
      address: addresses[1]!,
      agentAddress: addresses[2]!,
      service: "ledger",
      repeatable: false,
      slots: 2,
      callMilliseconds,
    });
    this.#row = createBackendServerRow({
      backendServer: "ledger-1",
      dataCentre: "van",
      service: "ledger",
      incarnation: "first",
      internalAddress: this.relay.address,
      chunkAddress: "",
      checksFencing: false,
      repeatable: false,
      usesWeights: false,
      slots: 2,
      servingVersion: "",
      accepting: true,
      linkBytesPerSecond: 0,
    }, Date.now() + ANNOUNCEMENT_LIFETIME_MILLISECONDS);
    this.table.set(this.#row);
  }

  async start(): Promise<void> {
    await this.service.start();
    await this.relay.start();
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
    }, Date.now() + ANNOUNCEMENT_LIFETIME_MILLISECONDS);
    this.#runner = new CallRunner({
      state: this.agentState,
      engine: new EngineClient(() => undefined, this.agentState.pushback),
      incarnation,
    });
    this.#server = new InternalServer({
      intake: createTestIntake(),
      routes: createCallRoutes(this.#runner, incarnation),
    });
    await this.#server.listen(this.#addresses[0]!);
    this.#row.incarnation = incarnation;
  }

  killAgent(): void {
    this.#server!.close();
    this.#runner!.stop();
    this.clients.dropConnection(this.relay.address);
  }

  stop(): void {
    this.killAgent();
    this.relay.stop();
    this.service.stop();
    this.clients.close();
  }

  /**
   * Makes the call through a new entry host, which shares only the replicated
   * log with the previous ones. Returns the answer's body, or the outcome of a
   * call that was not answered.
   */
  async sendCall(milliseconds = 4_000): Promise<string> {
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
      router: new Router({ table, outliers, policy, random: Math.random }),
    }, {
      workspace: "desk",
      service: "ledger",
      path: "/pay",
      body: Buffer.from(CALL_BODY),
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

  get runCount(): number {
    return this.service.executedBodies.length;
  }
}

/**
 * Runs one test on a log, an agent and a service of its own. Most of the tests
 * fail one step of an unrepeatable call, then retry the call with the same
 * idempotency key through a new entry host. They guard against a call that runs
 * twice, or that is reported as not run although it ran or may still run.
 */
function testClaim(
  name: string,
  scenario: (fixture: ClaimFixture) => Promise<void>,
  callMilliseconds = CALL_MILLISECONDS,
): void {
  test(name, async () => {
    const fixture = new ClaimFixture(
      await findFreeAddresses(4),
      callMilliseconds,
    );
    await fixture.start();
    try {
      await scenario(fixture);
    } finally {
      fixture.stop();
    }
  });
}

const ANSWER = FakeService.computeAnswer(CALL_BODY);

testClaim(
  "the claim is not proposed: the call is not run and can be retried",
  async (fixture) => {
    fixture.log.faults = { claim: "not-proposed" };
    assert.equal(await fixture.sendCall(), "not-run");
    assert.equal(fixture.runCount, 0);
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the claim's proposal is lost before it is applied: unknown, then run once on a retry",
  async (fixture) => {
    fixture.log.faults = { claim: "proposal-lost" };
    assert.equal(await fixture.sendCall(), "unknown");
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the claim is applied but the reply is lost: unknown, then run once on a retry",
  async (fixture) => {
    // Guards against a claim that blocks its key for good: the entry host does
    // not learn that the claim was accepted, or dies at that moment. On the
    // retry the agent tombstones the old claim, which then never runs, and the
    // call is claimed again.
    fixture.log.faults = { claim: "reply-lost" };
    assert.equal(await fixture.sendCall(), "unknown");
    assert.equal(fixture.runCount, 0);
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the deadline passes while the call runs: unknown, then answered on a retry",
  async (fixture) => {
    assert.equal(await fixture.sendCall(30), "unknown");
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the record of the outcome is lost before it is applied: unknown, then answered on a retry",
  async (fixture) => {
    fixture.log.faults = { "settle-claim": "proposal-lost" };
    assert.equal(await fixture.sendCall(), "unknown");
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the outcome is recorded but the reply is lost: unknown, then answered on a retry",
  async (fixture) => {
    fixture.log.faults = { "settle-claim": "reply-lost" };
    assert.equal(await fixture.sendCall(), "unknown");
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

// Guards against a broken answer that is recorded as the call's own, and given to
// each retry.
testClaim(
  "the answer is reset in its middle: unknown, not run again",
  async (fixture) => {
    fixture.service.framesByConnection = true;
    fixture.service.resetsAnswers = true;
    assert.equal(await fixture.sendCall(), "unknown");
    fixture.service.resetsAnswers = false;
    assert.equal(await fixture.sendCall(), "unknown");
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the answer ends with its connection: answered, and again on a retry",
  async (fixture) => {
    fixture.service.framesByConnection = true;
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the agent is killed before the call reaches it: unknown, never run",
  async (fixture) => {
    fixture.killAgent();
    assert.equal(await fixture.sendCall(2_000), "unknown");
    await fixture.startAgent("second");
    // Only the killed process knew whether the call had run.
    assert.equal(await fixture.sendCall(), "unknown");
    assert.equal(fixture.runCount, 0);
  },
);

testClaim(
  "the agent is killed while the call runs: unknown, not run again",
  async (fixture) => {
    const asking = fixture.sendCall(2_000);
    while (fixture.runCount === 0) await sleep(2);
    fixture.killAgent();
    assert.equal(await asking, "unknown");
    await fixture.startAgent("second");
    assert.equal(await fixture.sendCall(), "unknown");
    assert.equal(fixture.runCount, 1);
  },
  LONG_CALL_MILLISECONDS,
);

testClaim(
  "the agent is killed after the answer was recorded: a retry gets the answer",
  async (fixture) => {
    assert.equal(await fixture.sendCall(), ANSWER);
    fixture.killAgent();
    await fixture.startAgent("second");
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "the agent refuses: the call is not run and its claim is withdrawn",
  async (fixture) => {
    fixture.agentState.stop();
    assert.equal(await fixture.sendCall(), "not-run");
    assert.equal(fixture.log.state.claims.size, 0);
    assert.equal(fixture.runCount, 0);
  },
);

testClaim(
  "the claim's withdrawal is lost: unknown, then run once on a retry",
  async (fixture) => {
    fixture.agentState.setLoading(true);
    fixture.log.faults = { "cancel-claim": "proposal-lost" };
    assert.equal(await fixture.sendCall(), "unknown");
    fixture.agentState.setLoading(false);
    assert.equal(await fixture.sendCall(), ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim(
  "an agent silent for two seconds is asked again about a claim: answered",
  async (fixture) => {
    fixture.log.faults = { claim: "reply-lost" };
    assert.equal(await fixture.sendCall(), "unknown");
    fixture.relay.hold();
    const asking = fixture.sendCall();
    await sleep(2_000);
    fixture.relay.release();
    assert.equal(await asking, ANSWER);
    assert.equal(fixture.runCount, 1);
  },
);

testClaim("concurrent calls with one key run once", async (fixture) => {
  const answers = await Promise.all(
    Array.from({ length: 8 }, () => fixture.sendCall()),
  );
  assert.deepEqual([...new Set(answers)], [ANSWER]);
  assert.equal(fixture.runCount, 1);
});
