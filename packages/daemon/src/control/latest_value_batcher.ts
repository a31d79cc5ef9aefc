import { Subject } from "rxjs";

type Options<Value> = {
  /** Length of a batch, from its first value on. */
  milliseconds: number;
  keyOf: (value: Value) => string;
};

/** Collects values and emits the latest one of each key in one batch. */
export class LatestValueBatcher<Value> {
  readonly batches$ = new Subject<Value[]>();
  #options: Options<Value>;
  #latest = new Map<string, Value>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options<Value>) {
    this.#options = options;
  }

  add(value: Value): void {
    const { keyOf, milliseconds } = this.#options;
    this.#latest.set(keyOf(value), value);
    this.#timer ??= setTimeout(() => this.#publish(), milliseconds);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #publish(): void {
    this.#timer = undefined;
    const batch = [...this.#latest.values()];
    this.#latest.clear();
    this.batches$.next(batch);
  }
}
