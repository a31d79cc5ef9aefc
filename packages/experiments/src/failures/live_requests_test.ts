import assert from "node:assert/strict";
import { test } from "node:test";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import { withSystem } from "./with_system.ts";

const SEED = 4;
const STORY_MILLISECONDS = 2_500;
const CHECK_MILLISECONDS = 20_000;

const MODEL_LOAD = {
  workspace: "desk",
  seed: SEED,
  deadlineMilliseconds: 5_000,
  streams: [
    { service: "drafter", callsPerSecond: 60, kind: "engine" as const },
  ],
};

test("links that go silent for good lose no answer", async () => {
  // Story: something between the data centres loses track of all open
  // connections. They stay open and say nothing, while new ones work. Every
  // answer under way must be taken up again where it stopped.
  await withSystem({ withRelays: true }, async (system) => {
    await system.spread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    for (let round = 0; round < 3; round += 1) {
      await pause(STORY_MILLISECONDS);
      system.cluster.mesh.silenceOld();
    }
    await pause(STORY_MILLISECONDS);
    const { services, wrongDetails } = await system.endLoad(load);
    const { drafter } = services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.equal(drafter!.wrong, 0);
    assert.equal(drafter!.cut, 0, wrongDetails.join("\n"));
    assert.equal(drafter!.whole, drafter!.sent);
  });
});

test("planned stops cut off nothing", async () => {
  // Story: an agent and an entry host are stopped for maintenance one after
  // the other, while calls flow through them. Each ends by itself, and no
  // call that was taken is cut off or wrong.
  await withSystem({}, async (system) => {
    await system.spread("1", 3);
    const { cluster } = system;
    const load = system.startLoad(MODEL_LOAD);
    await pause(STORY_MILLISECONDS / 2);
    for (const name of ["drafter-2", "van-2"]) {
      cluster.child(name).signal("SIGTERM");
      assert.equal(await cluster.child(name).exited, 0);
    }
    const summary = await system.endLoad(load);
    const { drafter } = summary.services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.equal(drafter!.wrong, 0);
    assert.deepEqual(summary.wrongDetails, []);
    assert.equal(drafter!.whole + drafter!.unreached, drafter!.sent);
    assert.deepEqual(drafter!.refused, {});
  });
});

test("a killed agent costs only the answers that had begun", async () => {
  // Story: an agent dies with calls under way. Calls whose answer had not
  // begun move on; none is wrong; a begun one is broken, never ended short.
  await withSystem({}, async (system) => {
    await system.spread("1", 3);
    const { cluster } = system;
    const load = system.startLoad(MODEL_LOAD);
    await pause(STORY_MILLISECONDS / 2);
    cluster.child("drafter-1").signal("SIGKILL");
    await cluster.child("drafter-1").exited;
    await pause(STORY_MILLISECONDS);
    cluster.start("drafter-1");
    const back = await waitUntil(async () => {
      const status = await fetchStatus(cluster.publicUrl(0));
      return status?.weights[0]?.live === 3;
    }, CHECK_MILLISECONDS);
    const { drafter } = (await system.endLoad(load)).services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.ok(back, "the restarted agent did not come live again");
    assert.equal(drafter!.wrong, 0);
    // Eight slots were all that one agent could have had under way.
    assert.ok(drafter!.cut <= 8, `${drafter!.cut} answers were broken`);
    assert.equal(drafter!.whole + drafter!.cut, drafter!.sent);
  });
});

test("a drained backend server gets no new work and finishes its own", async () => {
  await withSystem({}, async (system) => {
    await system.spread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    await pause(STORY_MILLISECONDS / 2);
    await system.client(["backend", "drain", "drafter-3"]);
    // The command returns once every entry host has applied it.
    await pause(STORY_MILLISECONDS / 4);
    const status = await fetchStatus(system.cluster.publicUrl(0));
    const row = status!.backend_servers.find((server) =>
      server.backend_server === "drafter-3"
    );
    assert.equal(row!.running + row!.queued, 0);
    const { drafter } = (await system.endLoad(load)).services;
    assert.equal(drafter!.whole, drafter!.sent);
  });
});
