import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { create } from "@bufbuild/protobuf";
import { AgentState } from "@teaselrouter/daemon/agent/agent_state.ts";
import { CallRunner } from "@teaselrouter/daemon/agent/call_runner.ts";
import { EngineClient } from "@teaselrouter/daemon/agent/engine_client.ts";
import { RunRequestSchema } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeService } from "../fakes/fake_service.ts";
import { findFreeAddresses } from "../harness/find_free_addresses.ts";
import { waitUntil } from "../harness/wait_until.ts";

const TIMEOUT_MILLISECONDS = 10_000;
const CALL_MILLISECONDS = 60;
const SLOTS = 8;
const USUAL_ROUNDS = 4;
const WAITING_CALLS = 35;

type Scenario = (
  runner: CallRunner,
  service: FakeService,
  state: AgentState,
) => Promise<void>;

function withSingleSlotService(scenario: Scenario): Promise<void> {
  return withService(1, scenario);
}

/** Runs a test on a service with some slots and its agent's call runner. */
async function withService(slots: number, scenario: Scenario): Promise<void> {
  const [address, agentAddress] = await findFreeAddresses(2);
  const service = new FakeService({
    address: address!,
    agentAddress: agentAddress!,
    service: "portal",
    repeatable: true,
    slots,
    callMilliseconds: CALL_MILLISECONDS,
  });
  await service.start();
  const state = new AgentState();
  state.recordAnnouncement({
    service: "portal",
    address: address!,
    checks_fencing: false,
    repeatable: true,
    uses_weights: false,
    slots,
  }, Date.now() + TIMEOUT_MILLISECONDS);
  const runner = new CallRunner({
    state,
    engine: new EngineClient(() => undefined, state.pushback),
    incarnation: "one",
  });
  try {
    await scenario(runner, service, state);
  } finally {
    runner.stop();
    state.pushback.stop();
    service.stop();
  }
}

/** Runs a call; returns "answered", or why it was refused. */
async function ask(
  runner: CallRunner,
  id: string,
  deadlineMilliseconds?: number,
): Promise<string> {
  const exchange = runner.run(createRunRequest(id, 5, deadlineMilliseconds));
  for await (const { body } of exchange.read(0)) {
    if (body.case === "refused") return body.value.reason;
    if (body.case === "end") return "answered";
  }
  return "cut";
}

function createRunRequest(
  body: string,
  priority: number,
  deadlineMilliseconds = 60_000,
) {
  return create(RunRequestSchema, {
    requestId: body,
    path: "/look",
    body: new TextEncoder().encode(body),
    deadlineMilliseconds,
    priority,
  });
}

test("waiting calls run by descending priority, equal ones in order of arrival", async () => {
  // Guards against urgent calls that wait behind less urgent ones: five calls
  // arrive at once for one slot. The first runs at once, the others queue.
  await withSingleSlotService(async (runner, service) => {
    for (
      const [body, priority] of [["a", 5], ["b", 1], ["c", 9], ["d", 5], [
        "e",
        9,
      ]] as const
    ) {
      runner.run(createRunRequest(body, priority));
    }
    const done = () => service.executedBodies.length === 5;
    assert.ok(await waitUntil(done, TIMEOUT_MILLISECONDS));
    assert.deepEqual(service.executedBodies, ["a", "c", "e", "d", "b"]);
  });
});

test("a call that would wait past its deadline is refused at once", async () => {
  // Guards against slots wasted in a burst on calls that can't meet their
  // deadline. Such calls are refused at once with a time to retry after, and
  // never reach the service.
  await withSingleSlotService(async (runner, service) => {
    for (let count = 0; count < 10; count += 1) {
      runner.run(createRunRequest(`patient ${count}`, 5));
    }
    const exchange = runner.run(createRunRequest("hurried", 5, 100));
    assert.ok(exchange.endedAt > 0, "the call was queued");
    for await (const { body } of exchange.read(0)) {
      assert.equal(body.case, "refused");
      if (body.case !== "refused") continue;
      assert.equal(body.value.reason, "overloaded");
      assert.ok(body.value.retryAfterMilliseconds > 0);
    }
    assert.ok(!service.executedBodies.includes("hurried"));
  });
});

// Guards against calls refused as overloaded behind a stall of their backend
// server, which is as fast as before and serves them in a part of their time.
test("calls that wait behind a stall are not refused", async () => {
  await withService(SLOTS, async (runner, service) => {
    const askAtOnce = (count: number, name: string) =>
      Promise.all(
        Array.from(
          { length: count },
          (_, index) => ask(runner, `${name} ${index}`, 5_000),
        ),
      );
    for (let round = 0; round < USUAL_ROUNDS; round += 1) {
      await askAtOnce(SLOTS, `usual ${round}`);
    }
    service.stallMilliseconds = 1_900;
    const stalled = askAtOnce(SLOTS, "stalled");
    const haveArrived = () =>
      service.executedBodies.length === (USUAL_ROUNDS + 1) * SLOTS;
    assert.ok(await waitUntil(haveArrived, TIMEOUT_MILLISECONDS));
    service.stallMilliseconds = 0;
    await stalled;
    const answers = await askAtOnce(SLOTS + WAITING_CALLS, "behind");
    assert.deepEqual(new Set(answers), new Set(["answered"]));
  });
});

// Guards against an agent that sends its backend server more requests per
// second than the limit that the server announces with its answers.
test("an agent keeps the limit that its backend server announces until it is lifted", async () => {
  await withSingleSlotService(async (runner, service) => {
    const ask = async (id: string) => {
      const exchange = runner.run(createRunRequest(id, 5));
      for await (const { body } of exchange.read(0)) {
        if (body.case === "refused") return body.value.reason;
        if (body.case === "end") return "answered";
      }
    };
    service.limitPerSecond = 2;
    assert.equal(await ask("first"), "answered");
    const reasons = [];
    for (let index = 0; index < 15; index += 1) {
      reasons.push(await ask(`limited-${index}`));
      await sleep(100);
    }
    const ran = reasons.filter((reason) => reason === "answered").length;
    assert.ok(ran >= 1 && ran <= 5, `${ran} in 1.5 s`);
    assert.ok(reasons.includes("limited"));
    service.limitPerSecond = undefined;
    assert.ok(
      await waitUntil(
        async () => await ask(`end-${Math.random()}`) === "answered",
        TIMEOUT_MILLISECONDS,
      ),
    );
    assert.equal(await ask("behind"), "answered");
    assert.equal(await ask("behind it"), "answered");
  });
});

// Guards against calls that a backend server gets though it has asked for a
// pause: new ones, and those that waited at its agent.
test("an agent obeys a pause, refuses what waits, and returns step by step", async () => {
  await withSingleSlotService(async (runner, service, state) => {
    service.retryAfter = "1";
    const asked = ["a", "b", "c", "d"].map((id) => ask(runner, id));
    assert.deepEqual(await Promise.all(asked), Array(4).fill("paused"));
    assert.deepEqual(service.refusedBodies, ["a"], "the others waited");
    assert.equal(await ask(runner, "during"), "paused");
    assert.equal(state.refusalReason(Date.now()), "paused");
    service.retryAfter = undefined;
    assert.ok(
      await waitUntil(
        async () => await ask(runner, `later-${Math.random()}`) === "answered",
        TIMEOUT_MILLISECONDS,
      ),
    );
    assert.deepEqual(service.refusedBodies, ["a"]);
    assert.equal(state.refusalReason(Date.now()), undefined);
  });
});

// Guards against calls to a backend server that is shutting down, and against
// its next start that gets none.
test("an agent sends nothing to a backend server that shuts down, until its next start", async () => {
  await withSingleSlotService(async (runner, service, state) => {
    service.isShuttingDown = true;
    assert.equal(await ask(runner, "last"), "answered");
    assert.equal(await ask(runner, "too late"), "shutting-down");
    assert.deepEqual(service.executedBodies, ["last"]);
    service.isShuttingDown = false;
    state.recordAnnouncement(
      { ...state.backend!, started_at: 2 },
      Date.now() + TIMEOUT_MILLISECONDS,
    );
    assert.equal(await ask(runner, "next start"), "answered");
  });
});
