import { Subject } from "rxjs";
import type { BlockChange } from "./block_change.ts";

/**
 * Collects changes of one version's blocks for a short time and emits them as
 * one change.
 */
export class BlockChangeBatcher {
  readonly batches$ = new Subject<BlockChange>();
  #delayMilliseconds: number;
  #pending: BlockChange | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** @param delayMilliseconds from a batch's first change to its emission. */
  constructor(delayMilliseconds: number) {
    this.#delayMilliseconds = delayMilliseconds;
  }

  /**
   * Adds a change to the pending batch. A pending batch of another version is
   * discarded, because that version has been superseded.
   */
  add({ version, added, failed }: BlockChange): void {
    if (this.#pending?.version === version) {
      this.#pending.added.push(...added);
      this.#pending.failed.push(...failed);
    } else {
      this.#pending = { version, added: [...added], failed: [...failed] };
    }
    this.#timer ??= setTimeout(() => this.#flush(), this.#delayMilliseconds);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #flush(): void {
    this.#timer = undefined;
    const batch = this.#pending!;
    this.#pending = undefined;
    this.batches$.next(batch);
  }
}
