import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "../end_to_end_system.ts";

const CONTROL_HOSTS = 3;
const SUCCESSOR_AFTER_MILLISECONDS = 1_000;
/** From the start of a successor until its predecessor no longer counts. */
const CATCH_UP_MILLISECONDS = 4_000;
const READ_BACK_MILLISECONDS = 12_000;
const LEADING = /event=leading term=(\d+)/g;

for (const isLeader of [true, false]) {
  const which = isLeader ? "the leader" : "a follower";
  // Guards against a core that waits for a host that is gone for good: with a
  // second disk lost, nothing that was acknowledged could ever be read again.
  test(`a lost disk behind the replacement of ${which} loses no configuration`, () =>
    withSystem((system) => loseTwo(system, isLeader)));
}

// Guards against a planned replacement that leaves a time in which the host that
// was stopped is missed: its successor has caught up long before.
test("a lost disk behind a planned replacement loses no configuration", () =>
  withSystem(async (system) => {
    const { cluster, controlNames } = system;
    const successor = startSuccessor(system);
    await sleep(CATCH_UP_MILLISECONDS);
    const leader = findLeader(system);
    const [other, kept] = controlNames.filter((name) => name !== leader);
    await cluster.removeGracefully(leader);
    await loseDisk(system, { disk: other!, hosts: [other!, kept!, successor] });
  }));

async function withSystem(
  play: (system: EndToEndSystem) => Promise<void>,
): Promise<void> {
  const system = new EndToEndSystem({
    engines: 1,
    controlHosts: CONTROL_HOSTS,
  });
  let keepLogs = true;
  try {
    await system.start();
    await play(system);
    keepLogs = false;
  } finally {
    await system.stop({ keepLogs });
  }
}

async function loseTwo(
  system: EndToEndSystem,
  isLeader: boolean,
): Promise<void> {
  const { cluster, controlNames } = system;
  const leader = findLeader(system);
  const [follower, other] = controlNames.filter((name) => name !== leader);
  const gone = isLeader ? leader : follower!;
  const kept = isLeader ? follower! : leader;
  await cluster.remove(gone);
  await sleep(SUCCESSOR_AFTER_MILLISECONDS);
  const successor = startSuccessor(system);
  await sleep(CATCH_UP_MILLISECONDS);
  await loseDisk(system, { disk: other!, hosts: [other!, kept, successor] });
}

function startSuccessor({ cluster }: EndToEndSystem): string {
  return cluster.start("control", CONTROL_HOSTS, { bootstrap: false }).name;
}

/** All hosts lose power behind an acknowledgement, and one its disk. */
async function loseDisk(
  system: EndToEndSystem,
  { disk, hosts }: { disk: string; hosts: string[] },
): Promise<void> {
  const { cluster } = system;
  const isAccepted = () => system.configure(2);
  assert.ok(await waitUntil(isAccepted, READ_BACK_MILLISECONDS));
  await cluster.restart(hosts, { lostDisks: [disk] });
  const url = `${cluster.controlUrl(CONTROL_HOSTS)}/config`;
  const isReadBack = async () => (await readVersion(url)) === 2;
  assert.ok(
    await waitUntil(isReadBack, READ_BACK_MILLISECONDS),
    "the configuration can't be read back",
  );
}

function findLeader({ cluster, controlNames }: EndToEndSystem): string {
  const terms = controlNames.map((name) => {
    const { output } = cluster.findHost(name).child;
    const term = [...output.matchAll(LEADING)].at(-1)?.[1] ?? 0;
    return { name, term: Number(term) };
  });
  return terms.sort((left, right) => right.term - left.term)[0]!.name;
}

async function readVersion(url: string): Promise<number | undefined> {
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(1_000) });
    const { version } = await answer.json() as { version: number };
    return version;
  } catch {
    return undefined;
  }
}
