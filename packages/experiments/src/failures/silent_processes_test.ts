import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import type { Child } from "../harness/child.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { sendRequest } from "./send_request.ts";
import { withSystem } from "./with_system.ts";

const SEED = 7;
const SILENCE_MILLISECONDS = 2_000;
const ROUNDS = 2;
const BETWEEN_SILENCES_MILLISECONDS = 1_200;
/** Spread over the time between two heartbeats of an agent. */
const IDLE_MILLISECONDS = [3_200, 3_450, 3_700, 3_950];
const BEFORE_END_MILLISECONDS = 50;
const CALLS_PER_ENTRY_HOST = 4;
const ENGINES = ["drafter-1", "drafter-2", "drafter-3"];
const ENTRY_HOSTS = ["van-1", "kel-1", "pgr-1", "van-2"];

/** Answers of 0.7 s, a good half of what the engines can give. */
const LOAD = {
  workspace: "desk",
  seed: SEED,
  deadlineMilliseconds: 10_000,
  streams: [
    { service: "drafter", callsPerSecond: 15, kind: "engine" as const },
    { service: "ledger", callsPerSecond: 10, kind: "unrepeatable" as const },
    { service: "portal", callsPerSecond: 10, kind: "repeatable" as const },
  ],
};

async function silence(children: Child[]): Promise<void> {
  for (const child of children) child.signal("SIGSTOP");
  await sleep(SILENCE_MILLISECONDS);
  for (const child of children) child.signal("SIGCONT");
}

/** Returns how the calls ended that were not answered. */
async function makeCalls(system: RunningSystem): Promise<string[]> {
  const calls = ENTRY_HOSTS.flatMap((_, index) =>
    Array.from({ length: CALLS_PER_ENTRY_HOST }, () =>
      sendRequest(
        `${system.cluster.publicUrl(index)}/v1/services/portal/run`,
        { headers: { "Teaselrouter-Workspace": "desk" }, body: "a summary" },
      ))
  );
  return (await Promise.all(calls)).filter(({ status }) => status !== 200)
    .map(({ status, json }) => `${status} ${json["type"]}`);
}

// Guards against answers lost as sound processes stand still for two seconds.
test("silences of two seconds, one or all, again and again, cost no answer", async () => {
  await withSystem({ lineMilliseconds: 60 }, async (system) => {
    await system.measureSpread("1", 3);
    const findChildren = (names: string[]) =>
      names.map((name) => system.cluster.child(name));
    const groups = {
      "all backend servers": [system.fakes],
      "one agent": findChildren(["drafter-1"]),
      "all agents of the engines": findChildren(ENGINES),
      "one entry host": findChildren(["van-2"]),
    };
    for (const [name, children] of Object.entries(groups)) {
      const load = system.startLoad(LOAD);
      for (let round = 0; round < ROUNDS; round += 1) {
        await sleep(BETWEEN_SILENCES_MILLISECONDS);
        await silence(children);
      }
      await sleep(BETWEEN_SILENCES_MILLISECONDS);
      const { services, wrongDetails } = await system.stopLoad(load);
      assert.deepEqual(wrongDetails, [], name);
      for (const [service, counts] of Object.entries(services)) {
        const seen = JSON.stringify(counts);
        assert.equal(counts.whole, counts.sent, `${name}, ${service}: ${seen}`);
      }
    }
  });
});

// Guards against callers refused as no agent was heard for two seconds, though
// it goes on: an idle one is heard once a second only.
test("calls that arrive in a silence of all agents are answered", async () => {
  await withSystem({}, async (system) => {
    const agent = system.cluster.child("portal-1");
    for (const milliseconds of IDLE_MILLISECONDS) {
      await sleep(milliseconds);
      const silent = silence([agent]);
      await sleep(SILENCE_MILLISECONDS - BEFORE_END_MILLISECONDS);
      assert.deepEqual(await makeCalls(system), []);
      await silent;
    }
  });
});
