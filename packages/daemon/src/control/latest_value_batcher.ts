import { Subject } from "rxjs";

type Options<Value> = {
  /** How long values are gathered from the first one on. */
  milliseconds: number;
  keyOf: (value: Value) => string;
};

/** Gathers values for a moment and tells the latest of each key together. */
export class LatestGatherer<Value> {
  readonly gathered$ = new Subject<Value[]>();
  #options: Options<Value>;
  #latest = new Map<string, Value>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options<Value>) {
    this.#options = options;
  }

  add(value: Value): void {
    const { keyOf, milliseconds } = this.#options;
    this.#latest.set(keyOf(value), value);
    this.#timer ??= setTimeout(() => this.#tell(), milliseconds);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #tell(): void {
    this.#timer = undefined;
    const gathered = [...this.#latest.values()];
    this.#latest.clear();
    this.gathered$.next(gathered);
  }
}
