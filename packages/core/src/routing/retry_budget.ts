const RETRIES_PER_CALL = 0.08;
const MOST_SAVED = 10;

/**
 * Lets retries through as a small part of first tries. Retries of calls that
 * fail because everything is slow would otherwise multiply the load just
 * then; the budget runs dry and the failure is answered instead.
 */
export class RetryBudget {
  #saved = MOST_SAVED;

  countCall(): void {
    this.#saved = Math.min(MOST_SAVED, this.#saved + RETRIES_PER_CALL);
  }

  tryRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
