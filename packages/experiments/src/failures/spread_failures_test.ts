import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { withSystem } from "./with_system.ts";

const MEGABYTE = 1_048_576;
const SEED = 6;
const LIVE_TIMEOUT_MILLISECONDS = 40_000;
const HALFWAY_MILLISECONDS = 1_500;

/** A spread takes at least 4 s per host, so that faults can occur during it. */
const SLOW_SPREAD = {
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

function waitUntilAllLive(
  system: RunningSystem,
  version: string,
  entry: number,
): Promise<boolean> {
  return waitUntil(async () => {
    const status = await fetchStatus(system.cluster.publicUrl(entry));
    const row = status?.weights[0];
    return row?.version === version && row.live === 3;
  }, LIVE_TIMEOUT_MILLISECONDS);
}

test("with an agent and a coordinator killed halfway, every replica goes live and no answer is wrong", async () => {
  // Guards against a spread that never ends: halfway, a fetching agent is
  // killed and restarts without weights, and the entry host that coordinates
  // its data centre is killed for good. Every replica must still go live, on
  // complete weights.
  await withSystem(SLOW_SPREAD, async (system) => {
    const { cluster } = system;
    await system.measureSpread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    await system.publish("2");
    await sleep(HALFWAY_MILLISECONDS);
    cluster.child("drafter-2").signal("SIGKILL");
    await cluster.child("drafter-2").exited;
    cluster.start("drafter-2");
    cluster.child("van-2").signal("SIGKILL");
    assert.ok(
      await waitUntilAllLive(system, "drafter@2", 0),
      "not every replica went live",
    );
    const { drafter } = (await system.stopLoad(load)).services;
    console.log(`seed ${SEED}: ${JSON.stringify(drafter)}`);
    assert.equal(drafter!.wrong, 0);
    assert.ok(drafter!.byVersion["drafter@2"]! > 0);
  });
});

test("a newer version overtakes; the old one never goes live after it", async () => {
  // Guards against a superseded version that goes live late: version 3 is
  // published when version 2 is half spread. Version 2 must not go live
  // anywhere once 3 has, and callers must only get complete answers of one
  // version.
  await withSystem(SLOW_SPREAD, async (system) => {
    await system.measureSpread("1", 3);
    const load = system.startLoad(MODEL_LOAD);
    await system.publish("2");
    await sleep(HALFWAY_MILLISECONDS);
    await system.publish("3");
    assert.ok(await waitUntilAllLive(system, "drafter@3", 0));
    const events = await system.runClient([
      "timeline",
      "--since",
      "60",
      "--json",
    ]);
    const live =
      (JSON.parse(events).events as { kind: string; detail: string }[])
        .filter(({ kind }) => kind === "weights-live")
        .map(({ detail }) => /version=(\S+)/.exec(detail)![1]!);
    const firstOfThree = live.indexOf("drafter@3");
    assert.ok(!live.slice(firstOfThree).includes("drafter@2"), live.join(" "));
    const { drafter } = (await system.stopLoad(load)).services;
    assert.equal(drafter!.wrong + drafter!.cut, 0);
  });
});

test("a data centre partitioned halfway goes live once the partition heals", async () => {
  // Guards against a replica that stays on an old version: halfway through a
  // spread, all packets between one data centre and the others are dropped
  // without notice. Once the partition heals, the replica of that data centre
  // learns the target and must go live on the new version.
  await withSystem({ ...SLOW_SPREAD, withRelays: true }, async (system) => {
    await system.measureSpread("1", 3);
    await system.publish("2");
    await sleep(HALFWAY_MILLISECONDS);
    system.cluster.mesh.cutOff("pgr", "silent");
    await sleep(HALFWAY_MILLISECONDS * 2);
    system.cluster.mesh.heal();
    assert.ok(await waitUntilAllLive(system, "drafter@2", 0));
    assert.ok(await waitUntilAllLive(system, "drafter@2", 2));
  });
});
