import assert from "node:assert/strict";
import { test } from "node:test";
import { ChunkChangeGatherer } from "./chunk_change_gatherer.ts";
import type { ChunkChange } from "./chunk_change.ts";

function gather(changes: ChunkChange[]): Promise<ChunkChange> {
  const gatherer = new ChunkChangeGatherer(1);
  const told = new Promise<ChunkChange>((resolve) =>
    gatherer.gathered$.subscribe(resolve)
  );
  for (const change of changes) gatherer.add(change);
  return told;
}

test("a version of 96 chunks that arrive together is told in one message", async () => {
  // Load: dozens of hosts tell each control host of each of 96 chunks while
  // engines wait for its plan.
  const changes = Array.from(
    { length: 96 },
    (_, chunk) => ({ version: "m@2", added: [chunk], failed: [] }),
  );
  const told = await gather(changes);
  assert.equal(told.added.length, 96);
});

test("chunks of a version that was overtaken are not told as the next one's", async () => {
  const told = await gather([
    { version: "m@2", added: [1], failed: [2] },
    { version: "m@3", added: [5], failed: [] },
  ]);
  assert.deepEqual(told, { version: "m@3", added: [5], failed: [] });
});
