type Options = {
  /** Retries that each request adds to the budget. */
  ratio: number;
  /** Maximum number of unused retries that accumulate. */
  maxSavedRetries: number;
};

/**
 * One host's share of the retry budget, a token bucket filled by its requests.
 * The budget limits the retries of all hosts together. Because each host's
 * share is proportional to its own requests, the shares add up to the budget
 * without communication between hosts, whatever their number.
 */
export class SharedRetryBudget {
  #options: Options;
  #availableRetries: number;

  constructor(options: Options) {
    this.#options = options;
    this.#availableRetries = options.maxSavedRetries;
  }

  /** Adds one request's share of a retry to the budget. */
  countRequest(): void {
    const { ratio, maxSavedRetries } = this.#options;
    this.#availableRetries = Math.min(
      maxSavedRetries,
      this.#availableRetries + ratio,
    );
  }

  /** Retries that the budget allows now, with a fraction of the next one. */
  get left(): number {
    return this.#availableRetries;
  }

  /** Whether the budget allows a retry now. */
  get hasRetries(): boolean {
    return this.#availableRetries >= 1;
  }

  /** Takes one retry from the budget; false if it is exhausted. */
  trySpendRetry(): boolean {
    if (!this.hasRetries) return false;
    this.#availableRetries -= 1;
    return true;
  }
}
