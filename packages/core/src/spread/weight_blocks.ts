import type { ChunkSet } from "./chunk_set.ts";
import type { WeightsManifest } from "./weights_manifest.ts";

/** An exchange between hosts costs as much for a small chunk as for this. */
const BLOCK_BYTES = 49_152;

/**
 * A version's chunks in blocks that go from host to host in one exchange.
 *
 * Pattern: the store cuts the same weights into twice as many chunks of half
 * the size; each was ordered, asked for and told of by itself on every host.
 */
export class WeightBlocks {
  #chunks: number;
  #perBlock: number;

  constructor(
    { chunks, chunk_bytes }: Pick<WeightsManifest, "chunks" | "chunk_bytes">,
  ) {
    this.#chunks = chunks.length;
    this.#perBlock = Math.max(1, Math.floor(BLOCK_BYTES / chunk_bytes));
  }

  get count(): number {
    return Math.ceil(this.#chunks / this.#perBlock);
  }

  get chunksPerBlock(): number {
    return this.#perBlock;
  }

  /** The chunks of a block, in order; none for a block that is not there. */
  chunksOf(block: number): number[] {
    const first = block * this.#perBlock;
    const end = Math.min(first + this.#perBlock, this.#chunks);
    const chunks: number[] = [];
    for (let chunk = first; chunk < end; chunk += 1) chunks.push(chunk);
    return chunks;
  }

  /** Blocks of which every chunk is held. */
  wholeIn(held: ChunkSet): number[] {
    return this.#blocks().filter((block) =>
      this.chunksOf(block).every((chunk) => held.has(chunk))
    );
  }

  missingIn(held: ChunkSet): number[] {
    const whole = new Set(this.wholeIn(held));
    return this.#blocks().filter((block) => !whole.has(block));
  }

  #blocks(): number[] {
    return Array.from({ length: this.count }, (_, block) => block);
  }
}
