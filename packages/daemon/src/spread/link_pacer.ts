import { sleep } from "../transport/sleep.ts";

const MAX_LEAD_MILLISECONDS = 10;

/** Limits traffic on a link to a rate; 0 bytes per second for no limit. */
export class LinkPacer {
  #bytesPerSecond: number;
  #freeAt = 0;

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Applies to bytes that are reserved from now on. */
  setRate(bytesPerSecond: number): void {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Waits until the link has capacity for `bytes`. */
  async waitFor(bytes: number): Promise<void> {
    const delayMilliseconds = this.reserve(bytes);
    if (delayMilliseconds > 0) await sleep(delayMilliseconds);
  }

  /**
   * Reserves the link for `bytes` and returns how long the caller has to wait
   * before it sends, in milliseconds. Callers may run ahead of the rate by up
   * to `MAX_LEAD_MILLISECONDS`.
   */
  reserve(bytes: number): number {
    if (this.#bytesPerSecond === 0) return 0;
    const now = performance.now();
    const begin = Math.max(now, this.#freeAt);
    this.#freeAt = begin + bytes * 1_000 / this.#bytesPerSecond;
    return Math.max(0, this.#freeAt - now - MAX_LEAD_MILLISECONDS);
  }
}
