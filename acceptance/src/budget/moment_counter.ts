/** Counts the moments that lie in any span. */
export class MomentCounter {
  #moments: number[];

  constructor(moments: readonly number[]) {
    this.#moments = moments.toSorted((left, right) => left - right);
  }

  /** Number of moments from `from` on and before `to`. */
  count(from: number, to: number): number {
    return this.#findFirst(to) - this.#findFirst(from);
  }

  #findFirst(moment: number): number {
    let low = 0;
    let high = this.#moments.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#moments[middle]! < moment) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
