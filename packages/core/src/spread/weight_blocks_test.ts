import assert from "node:assert/strict";
import { test } from "node:test";
import { ChunkSet } from "./chunk_set.ts";
import { WeightBlocks } from "./weight_blocks.ts";

function blocksOf(count: number, chunk_bytes: number): WeightBlocks {
  return new WeightBlocks({ chunks: new Array(count).fill(""), chunk_bytes });
}

test("96 small chunks take as many exchanges as 48 of twice the size", () => {
  assert.equal(blocksOf(96, 24_576).count, 48);
  assert.equal(blocksOf(48, 49_152).count, 48);
});

test("a large chunk is its own block, and the last block may be short", () => {
  assert.deepEqual(blocksOf(4, 1_000_000).chunksOf(3), [3]);
  const blocks = blocksOf(5, 24_576);
  assert.deepEqual(blocks.chunksOf(2), [4]);
  assert.deepEqual(blocks.chunksOf(3), []);
});

test("a block counts as held only once all its chunks are held", () => {
  // Guards against reporting a host as a source of a block it holds in part.
  const blocks = blocksOf(5, 24_576);
  const held = new ChunkSet(5);
  for (const chunk of [0, 2, 3, 4]) held.add(chunk);
  assert.deepEqual(blocks.completeBlocks(held), [1, 2]);
  assert.deepEqual(blocks.incompleteBlocks(held), [0]);
});
