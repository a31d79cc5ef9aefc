import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { test } from "node:test";
import { fetchStatus } from "../harness/fetch_status.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { withSystem } from "./with_system.ts";

const TIMEOUT_MILLISECONDS = 20_000;

/** Repeats an operator command on one entry host until it succeeds. */
async function runUntilAccepted(
  system: RunningSystem,
  name: string,
  args: string[],
): Promise<void> {
  const done = await waitUntil(
    async () => (await system.runClientAt(name, args)).exitStatus === 0,
    TIMEOUT_MILLISECONDS,
  );
  assert.ok(done, `${args.join(" ")} was never accepted`);
}

/** Returns the leading host's name, or "" if none leads within 20 s. */
async function findLeaderName(system: RunningSystem): Promise<string> {
  let leader = "";
  await waitUntil(async () => {
    for (const { name } of system.cluster.entryHosts) {
      const status = await fetchStatus(system.entryUrl(name));
      leader = system.cluster.entryHosts
        .find((host) => host.internal === status?.leader)?.name ?? "";
      if (leader !== "") return true;
    }
    return false;
  }, TIMEOUT_MILLISECONDS);
  return leader;
}

test("a leader that was frozen marks no stale contract as current", async () => {
  // Guards against stale reads: the leader is frozen for longer than the
  // election timeout, as a paused machine is; another host is elected and a
  // contract changes. Once the old leader runs again, an answer that it marks
  // as current must hold the changed contract.
  await withSystem({}, async (system) => {
    const frozen = await findLeaderName(system);
    const other = system.cluster.entryHosts
      .find(({ name }) => name !== frozen)!.name;
    system.cluster.child(frozen).signal("SIGSTOP");
    await runUntilAccepted(system, other, [
      "contract",
      "change",
      "desk",
      "--rate",
      "77",
    ]);
    system.cluster.child(frozen).signal("SIGCONT");
    const showResult = await system.runClientAt(frozen, [
      ...["contract", "show", "desk", "--json"],
    ]);
    const reply = JSON.parse(showResult.output);
    if (reply.current) {
      assert.equal(reply.row.content.requests_per_second, 77);
    }
    const caughtUp = await waitUntil(
      async () => await system.fetchContractRate(frozen, "desk") === 77,
      TIMEOUT_MILLISECONDS,
    );
    assert.ok(caughtUp);
  });
});

test("accepted changes survive the kill of every control host at once", async () => {
  // Guards against data loss when all data centres lose power after many
  // changes. Every accepted change must be there, and the next one succeed.
  await withSystem({}, async (system) => {
    for (let rate = 101; rate <= 110; rate += 1) {
      const args = ["contract", "change", "desk", "--rate", String(rate)];
      assert.equal((await system.runClientAt("van-1", args)).exitStatus, 0);
    }
    const voters = system.cluster.entryHosts.filter(({ control }) => control);
    for (const { name } of voters) {
      system.cluster.child(name).signal("SIGKILL");
    }
    await Promise.all(
      voters.map(({ name }) => system.cluster.child(name).exited),
    );
    for (const { name } of voters) system.cluster.start(name);
    for (const { name } of voters) {
      const hasChange = await waitUntil(
        async () => await system.fetchContractRate(name, "desk") === 110,
        TIMEOUT_MILLISECONDS,
      );
      assert.ok(hasChange, `${name} lost an accepted change`);
    }
    await runUntilAccepted(system, "kel-1", [
      ...["contract", "change", "desk", "--rate", "111"],
    ]);
  });
});

test("a lost disk is replaced by one command, and a second loss keeps every change", async () => {
  // Guards against changes lost with a disk: a voter's disk fails and is
  // replaced by an empty one. The host must not vote under its old
  // member id; one command admits it as a new member. Right after that another
  // host is lost for good, and every accepted change must still be there.
  await withSystem({}, async (system) => {
    const { cluster } = system;
    await runUntilAccepted(system, "van-1", [
      ...["contract", "change", "desk", "--rate", "201"],
    ]);
    cluster.child("kel-1").signal("SIGKILL");
    await cluster.child("kel-1").exited;
    rmSync(cluster.dataFolder("kel-1"), { recursive: true });
    cluster.start("kel-1");
    await runUntilAccepted(system, "van-1", ["member", "replace", "kel-1"]);
    await runUntilAccepted(system, "van-1", [
      ...["contract", "change", "desk", "--rate", "202"],
    ]);
    const lost = await findLeaderName(system);
    const second = lost === "kel-1" ? "pgr-1" : lost;
    cluster.child(second).signal("SIGKILL");
    await cluster.child(second).exited;
    const rest = cluster.entryHosts.filter(({ name, control }) =>
      control && name !== second
    );
    for (const { name } of rest) {
      const hasChange = await waitUntil(
        async () => await system.fetchContractRate(name, "desk") === 202,
        TIMEOUT_MILLISECONDS,
      );
      assert.ok(hasChange, `${name} lacks an accepted change`);
    }
    await runUntilAccepted(system, rest[0]!.name, [
      ...["contract", "change", "desk", "--rate", "203"],
    ]);
  });
});

test("of two changes under one number, one wins and the other gets the current row", async () => {
  // Guards against a lost update: two operators replace the same number of a
  // contract at the same time, through different entry hosts, and the second
  // change overwrites the first. Also guards against refusing an operator who
  // repeats an accepted change because its answer was lost.
  await withSystem({}, async (system) => {
    const change = (host: string, rate: string) =>
      system.runClientAt(host, [
        ...["contract", "change", "desk", "--rate", rate],
        ...["--number", "1", "--json"],
      ]);
    const results = await Promise.all([
      change("van-1", "55"),
      change("pgr-1", "66"),
    ]);
    const exitStatuses = results.map(({ exitStatus }) => exitStatus).sort();
    assert.deepEqual(exitStatuses, [0, 1]);
    const winner = results.find(({ exitStatus }) => exitStatus === 0)!;
    const loser = results.find(({ exitStatus }) => exitStatus === 1)!;
    const winnerRate =
      JSON.parse(winner.output).stands.content.requests_per_second;
    const rateShownToLoser =
      JSON.parse(loser.output).stands.content.requests_per_second;
    assert.equal(rateShownToLoser, winnerRate);
    // The winner's command is repeated on another host, as if its answer had
    // been lost.
    const again = await change("kel-1", String(winnerRate));
    assert.equal(again.exitStatus, 0);
    assert.equal(JSON.parse(again.output).stands.number, 2);
  });
});

test("a planned stop of the leader refuses no change", async () => {
  // Guards against commands that fail while the leader is stopped for
  // maintenance. It transfers its leadership before it stops.
  await withSystem({}, async (system) => {
    const leader = await findLeaderName(system);
    const other = system.cluster.entryHosts
      .find(({ name }) => name !== leader)!.name;
    const child = system.cluster.child(leader);
    child.signal("SIGTERM");
    let ended = false;
    child.exited.then(() => {
      ended = true;
    });
    let rate = 300;
    while (!ended) {
      rate += 1;
      const args = ["contract", "change", "desk", "--rate", String(rate)];
      assert.equal((await system.runClientAt(other, args)).exitStatus, 0);
    }
    assert.equal(await child.exited, 0);
  });
});
