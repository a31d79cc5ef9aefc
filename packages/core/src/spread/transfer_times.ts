const SMOOTHING_FACTOR = 0.2;

type SourceKind = "local" | "remote" | "origin";

/** Averages how long a chunk takes from each kind of source, milliseconds. */
export class TransferTimes {
  #means = new Map<SourceKind, number>();

  record(kind: SourceKind, milliseconds: number): void {
    const mean = this.#means.get(kind);
    this.#means.set(
      kind,
      mean === undefined
        ? milliseconds
        : mean + SMOOTHING_FACTOR * (milliseconds - mean),
    );
  }

  /** Returns the mean, or undefined before the first transfer of this kind. */
  mean(kind: SourceKind): number | undefined {
    return this.#means.get(kind);
  }
}
