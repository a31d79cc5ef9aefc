import type { ContractRow } from "../contracts/contract_row.ts";
import { deriveLimits } from "./derive_limits.ts";

const DEMAND_WINDOW_MILLISECONDS = 500;

type Allotment = { rate: number; grantUntil: number; capUntil: number };

type Admission =
  | { admitted: true }
  | { admitted: false; retryAfterMilliseconds: number };

/** Token bucket for one entry host's share of one workspace's contract. */
export class WorkspaceLimiter {
  #tokens = 0;
  #refilledAt: number;
  #allotment: Allotment | undefined;
  #contract: ContractRow | undefined;
  #entryHosts = 1;
  #windowArrivals = 0;
  #windowStart: number;
  #lastWindowRate = 0;

  constructor(now: number) {
    this.#refilledAt = now;
    this.#windowStart = now;
  }

  /**
   * Applies a contract. A lowered contract scales the current allotment down at
   * once: otherwise, requests would be admitted at the old rate for a moment
   * after the change was reported in force, until the next allotment arrived.
   */
  setContract(
    contract: ContractRow | undefined,
    entryHosts: number,
    now: number,
  ): void {
    this.#refill(now);
    const before = deriveLimits(this.#contract, 1).totalRate;
    const after = deriveLimits(contract, 1).totalRate;
    if (this.#allotment !== undefined && after < before) {
      this.#allotment.rate *= after / before;
    }
    this.#contract = contract;
    this.#entryHosts = entryHosts;
  }

  /**
   * Replaces the allotment. The caller counts `grantUntil` from when the host
   * sent its report, and `capUntil` from `now`.
   */
  setAllotment(allotment: Allotment, now: number): void {
    this.#refill(now);
    this.#allotment = { ...allotment };
  }

  /**
   * Requests a second that this host may admit now: the allotted rate until the
   * grant ends, then at most the floor, and the floor once the cap has ended.
   */
  rate(now: number): number {
    const { floorRate, totalRate } = deriveLimits(
      this.#contract,
      this.#entryHosts,
    );
    const allotment = this.#allotment;
    if (allotment === undefined || now >= allotment.capUntil) return floorRate;
    const rate = now < allotment.grantUntil
      ? allotment.rate
      : Math.min(allotment.rate, floorRate);
    return Math.min(rate, totalRate);
  }

  admit(now: number): Admission {
    this.#countArrival(now);
    this.#refill(now);
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return { admitted: true };
    }
    // While the rate is 0, 0.001 requests a second bound the retry delay, to at
    // most 1,000 s per missing token.
    const rate = Math.max(this.rate(now), 0.001);
    const retryAfterMilliseconds = Math.ceil(
      (1 - this.#tokens) / rate * 1_000,
    );
    return { admitted: false, retryAfterMilliseconds };
  }

  /**
   * Requests a second that callers sent, admitted or not: the higher of the
   * last complete window, of at least 500 ms, and the current one.
   */
  demand(now: number): number {
    this.#rollWindow(now);
    const elapsed = now - this.#windowStart;
    const current = this.#windowArrivals * 1_000 /
      Math.max(elapsed, DEMAND_WINDOW_MILLISECONDS);
    return Math.max(this.#lastWindowRate, current);
  }

  #countArrival(now: number): void {
    this.#rollWindow(now);
    this.#windowArrivals += 1;
  }

  #rollWindow(now: number): void {
    const elapsed = now - this.#windowStart;
    if (elapsed < DEMAND_WINDOW_MILLISECONDS) return;
    this.#lastWindowRate = this.#windowArrivals * 1_000 / elapsed;
    this.#windowArrivals = 0;
    this.#windowStart = now;
  }

  #refill(now: number): void {
    const { burst } = deriveLimits(this.#contract, this.#entryHosts);
    const earned = this.rate(now) * (now - this.#refilledAt) / 1_000;
    this.#tokens = Math.min(burst, this.#tokens + Math.max(0, earned));
    this.#refilledAt = now;
  }
}
