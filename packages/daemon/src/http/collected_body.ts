import { Buffer } from "node:buffer";
import { BLOCK_BYTES } from "./block_bytes.ts";
import type { BlockPool } from "./block_pool.ts";

/**
 * The bytes of a body as they arrive. They are copied into blocks, since a part
 * costs many times its bytes where they come one by one. A body that comes as
 * one part is kept as that.
 */
export class CollectedBody {
  #pool: BlockPool;
  #first: Buffer | undefined;
  #blocks: Buffer[] = [];
  /** Bytes of the last block that are taken. */
  #used = BLOCK_BYTES;
  #bytes = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** What holding so many more bytes would take beyond what is taken. */
  costOf(bytes: number): number {
    if (this.#first === undefined) return bytes;
    const lacking = bytes - (BLOCK_BYTES - this.#used);
    return Math.max(0, Math.ceil(lacking / BLOCK_BYTES)) * BLOCK_BYTES;
  }

  add(part: Buffer): void {
    this.#bytes += part.length;
    if (this.#first === undefined) return void (this.#first = part);
    for (let at = 0; at < part.length;) {
      if (this.#used === BLOCK_BYTES) {
        this.#blocks.push(this.#pool.take());
        this.#used = 0;
      }
      const copied = part.copy(this.#blocks.at(-1)!, this.#used, at);
      this.#used += copied;
      at += copied;
    }
  }

  /** All bytes as one; nothing can be added afterwards. */
  join(): Buffer {
    const first = this.#first ?? Buffer.alloc(0);
    if (this.#blocks.length === 0) return first;
    const whole = Buffer.allocUnsafeSlow(this.#bytes);
    let offset = first.copy(whole);
    for (const block of this.#blocks) offset += block.copy(whole, offset);
    this.clear();
    return whole;
  }

  /** Gives all bytes up. */
  clear(): void {
    this.#pool.giveBack(this.#blocks);
    this.#blocks = [];
    this.#first = undefined;
    this.#used = BLOCK_BYTES;
  }
}
