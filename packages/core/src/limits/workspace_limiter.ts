import type { ContractRow } from "../contracts/contract_row.ts";
import { deriveLimits } from "./derive_limits.ts";

const DEMAND_WINDOW_MILLISECONDS = 500;

type Allotment = { rate: number; grantUntil: number; capUntil: number };

type Admission =
  | { admitted: true }
  | { admitted: false; retryAfterMilliseconds: number };

/** One entry host's part of one workspace's contract. */
export class WorkspaceLimiter {
  #tokens = 0;
  #filledAt: number;
  #allotment: Allotment | undefined;
  #contract: ContractRow | undefined;
  #entryHosts = 1;
  #asked = 0;
  #windowStart: number;
  #demand = 0;

  constructor(now: number) {
    this.#filledAt = now;
    this.#windowStart = now;
  }

  /**
   * Takes on a changed contract. A lowered contract scales the allotment at
   * once: waiting for the next one would let the old rate through for a
   * moment after the change was reported in force.
   */
  setContract(
    contract: ContractRow | undefined,
    entryHosts: number,
    now: number,
  ): void {
    this.#fill(now);
    const before = deriveLimits(this.#contract, 1).totalRate;
    const after = deriveLimits(contract, 1).totalRate;
    if (this.#allotment !== undefined && after < before) {
      this.#allotment.rate *= after / before;
    }
    this.#contract = contract;
    this.#entryHosts = entryHosts;
  }

  /** `grantUntil` counts from the report's sending, `capUntil` from now. */
  setAllotment(allotment: Allotment, now: number): void {
    this.#fill(now);
    this.#allotment = { ...allotment };
  }

  /** Requests a second that this host lets through now. */
  rate(now: number): number {
    const { floorRate, totalRate } = deriveLimits(
      this.#contract,
      this.#entryHosts,
    );
    const held = this.#allotment;
    if (held === undefined || now >= held.capUntil) return floorRate;
    const rate = now < held.grantUntil
      ? held.rate
      : Math.min(held.rate, floorRate);
    return Math.min(rate, totalRate);
  }

  admit(now: number): Admission {
    this.#count(now);
    this.#fill(now);
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return { admitted: true };
    }
    const rate = Math.max(this.rate(now), 0.001);
    const retryAfterMilliseconds = Math.ceil(
      (1 - this.#tokens) / rate * 1_000,
    );
    return { admitted: false, retryAfterMilliseconds };
  }

  /** Requests a second that callers asked for lately, let through or not. */
  demand(now: number): number {
    this.#roll(now);
    const elapsed = now - this.#windowStart;
    const current = this.#asked * 1_000 /
      Math.max(elapsed, DEMAND_WINDOW_MILLISECONDS);
    return Math.max(this.#demand, current);
  }

  #count(now: number): void {
    this.#roll(now);
    this.#asked += 1;
  }

  #roll(now: number): void {
    const elapsed = now - this.#windowStart;
    if (elapsed < DEMAND_WINDOW_MILLISECONDS) return;
    this.#demand = this.#asked * 1_000 / elapsed;
    this.#asked = 0;
    this.#windowStart = now;
  }

  #fill(now: number): void {
    const { burst } = deriveLimits(this.#contract, this.#entryHosts);
    const earned = this.rate(now) * (now - this.#filledAt) / 1_000;
    this.#tokens = Math.min(burst, this.#tokens + Math.max(0, earned));
    this.#filledAt = now;
  }
}
