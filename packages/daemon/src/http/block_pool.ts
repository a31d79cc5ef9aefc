import { Buffer } from "node:buffer";
import { BLOCK_BYTES } from "./block_bytes.ts";

/**
 * Blocks of memory that are used again: what a crowd leaves as garbage would be
 * collected late, and hardly given back to the machine.
 */
export class BlockPool {
  #free: Buffer[] = [];

  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  giveBack(blocks: Buffer[]): void {
    this.#free.push(...blocks);
  }
}
