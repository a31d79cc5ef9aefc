const LEARNING_SHARE = 0.2;

type Kind = "near" | "far" | "origin";

/** Learns how long one chunk takes from each kind of source, milliseconds. */
export class TransferTimes {
  #means = new Map<Kind, number>();

  learn(kind: Kind, milliseconds: number): void {
    const mean = this.#means.get(kind);
    this.#means.set(
      kind,
      mean === undefined
        ? milliseconds
        : mean + LEARNING_SHARE * (milliseconds - mean),
    );
  }

  /** Mean time, or undefined before the first transfer of this kind. */
  mean(kind: Kind): number | undefined {
    return this.#means.get(kind);
  }
}
