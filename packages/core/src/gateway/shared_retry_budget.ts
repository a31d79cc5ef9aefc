type Options = {
  /** Extra sends allowed for each request. */
  ratio: number;
  /** Extra sends that may be saved up. */
  mostSaved: number;
};

/**
 * One host's part of the budget for sending requests once more. The bound is
 * on all hosts together; in proportion to a host's own requests the parts sum
 * to it without a word between the hosts, whatever their number.
 */
export class SharedRetryBudget {
  #options: Options;
  #saved: number;

  constructor(options: Options) {
    this.#options = options;
    this.#saved = options.mostSaved;
  }

  countRequest(): void {
    const { ratio, mostSaved } = this.#options;
    this.#saved = Math.min(mostSaved, this.#saved + ratio);
  }

  get mayBeSpent(): boolean {
    return this.#saved >= 1;
  }

  trySpend(): boolean {
    if (!this.mayBeSpent) return false;
    this.#saved -= 1;
    return true;
  }
}
