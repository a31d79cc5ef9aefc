import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import { withSystem } from "./with_system.ts";

const SEED = 4;
const LOAD_PHASE_MILLISECONDS = 2_500;
const TIMEOUT_MILLISECONDS = 20_000;
const CALLS_PER_SECOND = 60;
const SLOTS_PER_ENGINE = 8;
/**
 * Two of the three engines are full only if their calls take longer than this
 * on average.
 */
const MIN_MILLISECONDS_WHEN_FULL = 2 * SLOTS_PER_ENGINE / CALLS_PER_SECOND *
  1_000;

const STREAM = {
  service: "drafter",
  callsPerSecond: CALLS_PER_SECOND,
  kind: "engine" as const,
};
const MODEL_LOAD = {
  workspace: "desk",
  seed: SEED,
  deadlineMilliseconds: 5_000,
  streams: [STREAM],
};
/** On a busy machine, two engines may carry less than the load. */
const ASKING_AGAIN_LOAD = {
  ...MODEL_LOAD,
  streams: [{ ...STREAM, asksAgain: true }],
};

test("connections that go silent for good lose no answer", async () => {
  // Guards against answers lost when a device between the data centres loses
  // track of all open connections: they stay open but carry no data, while
  // new ones work. Every answer in flight must be continued where it stopped.
  await withSystem({ withRelays: true }, async (system) => {
    await system.measureSpread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    for (let round = 0; round < 3; round += 1) {
      await sleep(LOAD_PHASE_MILLISECONDS);
      system.cluster.mesh.silenceOpenConnections();
    }
    await sleep(LOAD_PHASE_MILLISECONDS);
    const { services, wrongDetails } = await system.stopLoad(load);
    const { drafter } = services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.equal(drafter!.wrong, 0);
    assert.equal(drafter!.cut, 0, wrongDetails.join("\n"));
    assert.equal(drafter!.whole, drafter!.sent);
  });
});

test("planned stops break no answer", async () => {
  // Guards against broken or wrong answers at maintenance: an agent and then
  // an entry host that handle calls get SIGTERM. Each must finish the calls
  // that it accepted and exit with 0.
  await withSystem({}, async (system) => {
    await system.measureSpread("1", 3);
    const { cluster } = system;
    const load = system.startLoad(MODEL_LOAD);
    await sleep(LOAD_PHASE_MILLISECONDS / 2);
    for (const name of ["drafter-2", "van-2"]) {
      cluster.child(name).signal("SIGTERM");
      assert.equal(await cluster.child(name).exited, 0);
    }
    const summary = await system.stopLoad(load);
    const { drafter } = summary.services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.equal(drafter!.wrong, 0);
    assert.deepEqual(summary.wrongDetails, []);
    assert.equal(drafter!.whole + drafter!.unreached, drafter!.sent);
    assert.deepEqual(drafter!.refused, {});
  });
});

test("a killed agent breaks only answers that had begun", async () => {
  // Guards against wrong or truncated answers when an agent dies with calls in
  // flight. Calls whose answer had not begun are sent to another agent. An
  // answer that had begun ends with a broken connection, never as if complete.
  await withSystem({}, async (system) => {
    await system.measureSpread("1", 3);
    const { cluster } = system;
    const load = system.startLoad(ASKING_AGAIN_LOAD);
    await sleep(LOAD_PHASE_MILLISECONDS / 2);
    cluster.child("drafter-1").signal("SIGKILL");
    await cluster.child("drafter-1").exited;
    await sleep(LOAD_PHASE_MILLISECONDS);
    cluster.start("drafter-1");
    const back = await waitUntil(async () => {
      const status = await fetchStatus(cluster.publicUrl(0));
      return status?.weights[0]?.live === 3;
    }, TIMEOUT_MILLISECONDS);
    const { drafter } = (await system.stopLoad(load)).services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.ok(back, "the restarted agent does not serve the version again");
    assert.equal(drafter!.wrong, 0);
    // Only calls in the agent's slots can have begun to be answered.
    const { cut } = drafter!;
    assert.ok(cut <= SLOTS_PER_ENGINE, `${cut} answers were broken`);
    assert.equal(drafter!.whole + cut, drafter!.sent);
    if (drafter!.p95 <= MIN_MILLISECONDS_WHEN_FULL) {
      assert.deepEqual(drafter!.refused, {}, "refused with free slots");
    }
    const { overloaded = 0, ...others } = drafter!.refused;
    console.log(`refused as overloaded at first: ${overloaded}`);
    assert.deepEqual(others, {});
  });
});

test("a drained backend server gets no new work and finishes its own", async () => {
  // Guards against answers lost at maintenance, and against entry hosts that
  // keep sending to a drained server: an operator drains one of three engines
  // under load. Soon after, it must be idle, and every call must be answered.
  await withSystem({}, async (system) => {
    await system.measureSpread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    await sleep(LOAD_PHASE_MILLISECONDS / 2);
    await system.runClient(["backend", "drain", "drafter-3"]);
    // The command returns once every entry host has applied it.
    await sleep(LOAD_PHASE_MILLISECONDS / 4);
    const status = await fetchStatus(system.cluster.publicUrl(0));
    const row = status!.backend_servers.find((server) =>
      server.backend_server === "drafter-3"
    );
    assert.equal(row!.running + row!.queued, 0);
    const { drafter } = (await system.stopLoad(load)).services;
    assert.equal(drafter!.whole, drafter!.sent);
  });
});
