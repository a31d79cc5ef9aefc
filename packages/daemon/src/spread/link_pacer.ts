import { pause } from "../transport/pause.ts";

const LEAD_MILLISECONDS = 10;

/** Keeps a link's traffic to a rate; 0 bytes a second is not limited. */
export class LinkPacer {
  #bytesPerSecond: number;
  #freeAt = 0;

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Waits until `bytes` may pass. */
  async take(bytes: number): Promise<void> {
    const wait = this.delayOf(bytes);
    if (wait > 0) await pause(wait);
  }

  /** Counts `bytes` in; how long they have to wait, milliseconds. */
  delayOf(bytes: number): number {
    if (this.#bytesPerSecond === 0) return 0;
    const now = performance.now();
    const begin = Math.max(now, this.#freeAt);
    this.#freeAt = begin + bytes * 1_000 / this.#bytesPerSecond;
    return Math.max(0, this.#freeAt - now - LEAD_MILLISECONDS);
  }
}
