import assert from "node:assert/strict";
import { test } from "node:test";
import { BlockChangeBatcher } from "./block_change_batcher.ts";
import type { BlockChange } from "./block_change.ts";

function batchChanges(changes: BlockChange[]): Promise<BlockChange> {
  const batcher = new BlockChangeBatcher(1);
  const batch = new Promise<BlockChange>((resolve) =>
    batcher.batches$.subscribe(resolve)
  );
  for (const change of changes) batcher.add(change);
  return batch;
}

test("96 blocks of a version that arrive together are reported in one message", async () => {
  // Guards against overloading control hosts: dozens of hosts report each of
  // 96 blocks to every control host while engines wait for the plan.
  const changes = Array.from(
    { length: 96 },
    (_, block) => ({ version: "m@2", added: [block], failed: [] }),
  );
  const batch = await batchChanges(changes);
  assert.equal(batch.added.length, 96);
});

test("blocks of a superseded version are not reported as the next version's", async () => {
  const batch = await batchChanges([
    { version: "m@2", added: [1], failed: [2] },
    { version: "m@3", added: [5], failed: [] },
  ]);
  assert.deepEqual(batch, { version: "m@3", added: [5], failed: [] });
});
