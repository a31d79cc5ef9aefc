import assert from "node:assert/strict";
import { test } from "node:test";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { withSystem } from "./with_system.ts";

const MEGABYTE = 1_048_576;
const SEED = 6;
const LIVE_MILLISECONDS = 40_000;
const HALFWAY_MILLISECONDS = 1_500;

/** Slow enough that a spread can be met in the middle: 4 s a host. */
const SLOW = {
  totalBytes: 8 * MEGABYTE,
  hostBytesPerSecond: 2 * MEGABYTE,
  originBytesPerSecond: 4 * MEGABYTE,
};

const MODEL_LOAD = {
  workspace: "desk",
  seed: SEED,
  deadlineMilliseconds: 4_000,
  streams: [
    { service: "drafter", callsPerSecond: 30, kind: "engine" as const },
  ],
};

function allLive(
  system: RunningSystem,
  version: string,
  entry: number,
): Promise<boolean> {
  return waitUntil(async () => {
    const status = await fetchStatus(system.cluster.publicUrl(entry));
    const row = status?.weights[0];
    return row?.version === version && row.live === 3;
  }, LIVE_MILLISECONDS);
}

test("an agent and a coordinator killed halfway: all come live, none wrong", async () => {
  // Story: in the middle of a spread a fetching agent is killed and comes
  // back with nothing, and the entry host that plans for its data centre is
  // killed for good. Every replica still comes live, on whole weights.
  await withSystem(SLOW, async (system) => {
    const { cluster } = system;
    await system.spread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    await system.publish("2");
    await pause(HALFWAY_MILLISECONDS);
    cluster.child("drafter-2").signal("SIGKILL");
    await cluster.child("drafter-2").exited;
    cluster.start("drafter-2");
    cluster.child("van-2").signal("SIGKILL");
    assert.ok(await allLive(system, "drafter@2", 0), "not all came live");
    const { drafter } = (await system.endLoad(load)).services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.equal(drafter!.wrong, 0);
    assert.ok(drafter!.byVersion["drafter@2"]! > 0);
  });
});

test("a newer version overtakes; the old one never goes live after it", async () => {
  // Story: version 2 is half spread when version 3 is published. Version 2
  // must not come live anywhere once 3 has, and callers only ever get whole
  // answers of one version.
  await withSystem(SLOW, async (system) => {
    await system.spread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    await system.publish("2");
    await pause(HALFWAY_MILLISECONDS);
    await system.publish("3");
    assert.ok(await allLive(system, "drafter@3", 0));
    const events = await system.client(["timeline", "--since", "60", "--json"]);
    const live =
      (JSON.parse(events).events as { kind: string; detail: string }[])
        .filter(({ kind }) => kind === "weights-live")
        .map(({ detail }) => /version=(\S+)/.exec(detail)![1]!);
    const firstOfThree = live.indexOf("drafter@3");
    assert.ok(!live.slice(firstOfThree).includes("drafter@2"), live.join(" "));
    const { drafter } = (await system.endLoad(load)).services;
    assert.equal(drafter!.wrong + drafter!.cut, 0);
  });
});

test("a data centre cut off halfway comes live after healing", async () => {
  // Story: in the middle of a spread one data centre is cut off without a
  // word. It goes on answering from the old version; after healing it
  // learns the target and comes live on the new one.
  await withSystem({ ...SLOW, withRelays: true }, async (system) => {
    await system.spread("1", 3);
    await system.publish("2");
    await pause(HALFWAY_MILLISECONDS);
    system.cluster.mesh.cutOff("pgr", "silent");
    await pause(HALFWAY_MILLISECONDS * 2);
    system.cluster.mesh.heal();
    assert.ok(await allLive(system, "drafter@2", 0));
    assert.ok(await allLive(system, "drafter@2", 2));
  });
});
