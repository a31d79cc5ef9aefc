import { Subject } from "rxjs";
import type { ChunkChange } from "./chunk_change.ts";

/** Gathers changes of chunks for a moment and tells them as one. */
export class ChunkChangeGatherer {
  readonly gathered$ = new Subject<ChunkChange>();
  #milliseconds: number;
  #pending: ChunkChange | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** @param milliseconds how long changes are gathered from the first one on. */
  constructor(milliseconds: number) {
    this.#milliseconds = milliseconds;
  }

  /** What is pending of another version is of no use to anyone any more. */
  add({ version, added, failed }: ChunkChange): void {
    if (this.#pending?.version === version) {
      this.#pending.added.push(...added);
      this.#pending.failed.push(...failed);
    } else {
      this.#pending = { version, added: [...added], failed: [...failed] };
    }
    this.#timer ??= setTimeout(() => this.#tell(), this.#milliseconds);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #tell(): void {
    this.#timer = undefined;
    const gathered = this.#pending!;
    this.#pending = undefined;
    this.gathered$.next(gathered);
  }
}
