import type { ChunkSet } from "./chunk_set.ts";
import type { WeightsManifest } from "./weights_manifest.ts";

/**
 * Target size of a block: up to about this size, the cost of an exchange
 * between two hosts does not depend on the number of bytes.
 */
const BLOCK_BYTES = 49_152;

/**
 * Groups a version's chunks into blocks that hosts transfer in one exchange.
 *
 * A weight store may split the same weights into twice as many chunks of half
 * the size. Without blocks, each of these was assigned, requested and reported
 * separately on every host.
 */
export class WeightBlocks {
  #totalChunks: number;
  #chunksPerBlock: number;

  constructor(
    { chunks, chunk_bytes }: Pick<WeightsManifest, "chunks" | "chunk_bytes">,
  ) {
    this.#totalChunks = chunks.length;
    this.#chunksPerBlock = Math.max(1, Math.floor(BLOCK_BYTES / chunk_bytes));
  }

  get count(): number {
    return Math.ceil(this.#totalChunks / this.#chunksPerBlock);
  }

  get chunksPerBlock(): number {
    return this.#chunksPerBlock;
  }

  /** Returns a block's chunks in order; empty if the block does not exist. */
  chunksOf(block: number): number[] {
    const first = block * this.#chunksPerBlock;
    const end = Math.min(first + this.#chunksPerBlock, this.#totalChunks);
    const chunks: number[] = [];
    for (let chunk = first; chunk < end; chunk += 1) chunks.push(chunk);
    return chunks;
  }

  /** Returns the blocks of which every chunk is held. */
  completeBlocks(held: ChunkSet): number[] {
    return this.#allBlocks().filter((block) =>
      this.chunksOf(block).every((chunk) => held.has(chunk))
    );
  }

  incompleteBlocks(held: ChunkSet): number[] {
    const whole = new Set(this.completeBlocks(held));
    return this.#allBlocks().filter((block) => !whole.has(block));
  }

  #allBlocks(): number[] {
    return Array.from({ length: this.count }, (_, block) => block);
  }
}
