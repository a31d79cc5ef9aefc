import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { ChunkSet } from "./chunk_set.ts";
import { defaultSpreadOptions } from "./default_spread_options.ts";
import { RarestRanking } from "./rarest_ranking.ts";
import { SpreadTable } from "./spread_table.ts";
import type { SpreadObjective } from "./spread_objective.ts";
import { PeerExchangePolicy } from "./peer_exchange_policy.ts";

const CHUNKS = 8;
const ORIGIN = "";

function tableWith(hosts: string[]): SpreadTable {
  const table = new SpreadTable({
    version: "m@2",
    totalChunks: CHUNKS,
    chunkBytes: 1,
    dataCentre: "here",
  });
  for (const host of hosts) {
    table.setHost({
      host,
      dataCentre: "here",
      address: host,
      held: new ChunkSet(CHUNKS),
      linkBytesPerSecond: 0,
      followsPlans: true,
    });
  }
  return table;
}

function policy(
  objective: SpreadObjective = "origin-bytes",
): PeerExchangePolicy {
  return new PeerExchangePolicy({
    ...defaultSpreadOptions,
    objective,
    random: createSeededRandom(4),
    ranking: new RarestRanking(),
  });
}

test("a frozen host does not block the other hosts' chunks", () => {
  // A host freezes while it fetches chunks from the origin and reports no
  // failure. If its fetches stayed pending, the other hosts, which hold all
  // other chunks, would wait until it recovers.
  const table = tableWith(["frozen", "awake"]);
  const plan = policy();
  const first = plan.plan(table, 0);
  const pendingTransfers = first.filter(({ host }) => host === "frozen");
  assert.ok(
    pendingTransfers.length > 0 &&
      pendingTransfers.every(({ source }) => source === ORIGIN),
  );
  for (let now = 100; now <= 3_000; now += 100) {
    table.expireTransfers(now);
    for (const { host, chunk } of plan.plan(table, now)) {
      if (host === "awake") table.addChunk(host, chunk, now);
    }
    for (const { host, chunk } of table.allTransfers()) {
      if (host === "awake") table.addChunk(host, chunk, now);
    }
  }
  assert.equal(table.host("awake")?.held.isComplete, true);
  assert.equal(table.host("frozen")?.isStalled, true);
  assert.deepEqual(
    plan.plan(table, 3_100).filter(({ host }) => host === "frozen"),
    [],
  );
  table.markResponsive("frozen");
  assert.ok(plan.plan(table, 3_200).some(({ host }) => host === "frozen"));
});

test("a failed origin is retried soon, a failed peer later", () => {
  // The weight store is down for some seconds. Each host detects this by its
  // own failures, and none may still avoid the store once it is back.
  const table = tableWith(["a", "b"]);
  const until = 5_000;
  table.startTransfer({ host: "a", chunk: 0, source: ORIGIN, startedAt: 0 });
  table.failTransfer("a", 0, { now: 0, until });
  assert.equal(table.isAvoided("a", ORIGIN, 200), true);
  assert.equal(table.isAvoided("a", ORIGIN, 400), false);
  assert.equal(table.isAvoided("b", ORIGIN, 200), false);
  table.startTransfer({ host: "a", chunk: 1, source: "b", startedAt: 0 });
  table.failTransfer("a", 1, { now: 0, until });
  assert.equal(table.isAvoided("a", "b", 400), true);
});

// Hosts exchange chunks over their uplinks, which carry what the downlinks of
// other hosts take, and a little less wherever two hosts need the same chunk.
// The origin's link, which is idle once every chunk has left the origin, makes
// up for the difference.
test("with objective haste the origin helps only once hosts hold all chunks", () => {
  const fromOrigin = (objective: SpreadObjective, heldChunks: number) => {
    const table = tableWith(["full", "a", "b", "c"]);
    for (let chunk = 0; chunk < heldChunks; chunk += 1) {
      table.addChunk("full", chunk, 0);
    }
    const last = table.totalChunks - 1;
    if (heldChunks <= last) {
      table.startTransfer({
        host: "full",
        chunk: last,
        source: ORIGIN,
        startedAt: 0,
      });
    }
    return policy(objective).plan(table, 0)
      .filter(({ source }) => source === ORIGIN).length;
  };
  const total = tableWith([]).totalChunks;
  assert.equal(fromOrigin("origin-bytes", total), 0);
  assert.ok(fromOrigin("haste", total) > 0);
  assert.equal(fromOrigin("haste", total - 1), 0);
});

// A control host keeps a table for every data centre and receives every chunk
// report. Guards against planning where no host follows the plans or is missing
// chunks, and against leaving out a host that has just lost its chunks.
test("a table has missing chunks only while a follower lacks some", () => {
  const table = tableWith(["a", "b"]);
  assert.equal(table.hasMissingChunks, true);
  table.host("a")!.followsPlans = false;
  for (let chunk = 0; chunk < CHUNKS; chunk += 1) table.addChunk("b", chunk, 0);
  assert.equal(
    table.hasMissingChunks,
    false,
    "one holds all, the other follows none",
  );
  table.setHost({ ...table.host("b")!, held: new ChunkSet(CHUNKS) });
  assert.equal(table.hasMissingChunks, true);
});
