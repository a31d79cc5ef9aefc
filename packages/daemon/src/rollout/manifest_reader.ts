import { ManifestConfirmation } from "@teaselrouter/core/spread/manifest_confirmation.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { Result } from "true-myth";
import type { EventLog } from "../log/event_log.ts";
import { sleep } from "../transport/sleep.ts";

const RETRY_DELAY_MILLISECONDS = 200;
/**
 * A read that has no answer by then is repeated beside it: a request that was
 * sent while the store was down may never be answered.
 */
const REPEAT_DELAY_MILLISECONDS = 500;
const MAX_CONCURRENT_READS = 3;

type Options = {
  /** Aborted reads may fail or never end. */
  read: (signal: AbortSignal) => Promise<Result<WeightsManifest, string>>;
  log: EventLog;
};

/** Reads one version's manifest until two reads in a row agree. */
export class ManifestReader {
  #options: Options;
  #confirmation = new ManifestConfirmation();
  #confirmed: WeightsManifest | undefined;
  #readCount = 0;
  #abortController = new AbortController();
  #ended: Promise<void>;

  constructor(options: Options) {
    this.#options = options;
    this.#ended = new Promise((resolve) =>
      this.#signal.addEventListener("abort", () => resolve())
    );
  }

  stop(): void {
    this.#abortController.abort();
  }

  /** Returns the manifest, or undefined once stopped. */
  async run(): Promise<WeightsManifest | undefined> {
    while (!this.#signal.aborted) {
      const hasFailed = this.#readCount < MAX_CONCURRENT_READS
        ? await Promise.race([
          this.#read(),
          this.#wait(REPEAT_DELAY_MILLISECONDS),
        ])
        : await this.#wait(REPEAT_DELAY_MILLISECONDS);
      if (hasFailed) await this.#wait(RETRY_DELAY_MILLISECONDS);
    }
    return this.#confirmed;
  }

  get #signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /** Waits for this time, or until a read has confirmed the manifest. */
  async #wait(milliseconds: number): Promise<boolean> {
    await Promise.race([sleep(milliseconds), this.#ended]);
    return false;
  }

  /** Returns whether the read failed. */
  async #read(): Promise<boolean> {
    this.#readCount += 1;
    const read = await this.#options.read(this.#signal);
    this.#readCount -= 1;
    if (this.#signal.aborted) return false;
    if (read.isErr) {
      this.#options.log.warn("manifest-failed", { reason: read.error });
      return true;
    }
    if (!this.#confirmation.confirm(read.value)) return false;
    this.#confirmed = read.value;
    this.stop();
    return false;
  }
}
