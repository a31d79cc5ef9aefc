const RETRIES_PER_CALL = 0.08;
const MAX_TOKENS = 10;

/**
 * Limits retries to a small fraction of the calls. Otherwise, retries of calls
 * that fail because everything is slow would multiply the load at that very
 * moment. Once the budget is exhausted, the caller gets the failure instead.
 */
export class RetryBudget {
  #tokens = MAX_TOKENS;

  /** Retries that may be taken now. */
  get left(): number {
    return Math.floor(this.#tokens);
  }

  /** Earns a fraction of a retry for each new call. */
  countCall(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + RETRIES_PER_CALL);
  }

  /** Takes one retry from the budget; returns false if it is exhausted. */
  tryRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
