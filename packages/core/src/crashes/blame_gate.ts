import type { Blame } from "./blame.ts";
import type { BlameTable } from "./blame_table.ts";
import type { RequestTraits } from "./request_traits.ts";

/** Until a permit for a trial run has come; requests are refused meanwhile. */
const PERMIT_WAIT_MILLISECONDS = 1_000;
/** How long a permit is good for; much less than a trial run may take. */
const PERMIT_MILLISECONDS = 5_000;

type Options = {
  /** Whether trial runs wait for `permitTrial`. */
  waitsForPermits: boolean;
};

/** Refuses what is blamed, and lets trial runs through. */
export class BlameGate {
  #blames: BlameTable;
  #options: Options;
  /** Until when a trial run may begin here, by the blame's name. */
  #permits = new Map<string, number>();

  constructor(blames: BlameTable, options: Options) {
    this.#blames = blames;
    this.#options = options;
  }

  /**
   * Returns the blame for which a request must be refused now; undefined if it
   * may run. After the refusal period, one run is admitted as a trial, once it
   * is permitted where that is needed. Others are refused until that run succeeds
   * or until the trial times out.
   */
  check(request: RequestTraits, now: number): Blame | undefined {
    const blames = this.#blames.findAll(request);
    const unpermitted = blames.filter(({ fingerprint }) =>
      now >= (this.#permits.get(fingerprint) ?? -Infinity)
    );
    const inForce = unpermitted.find(({ endsAt }) => now < endsAt);
    if (inForce !== undefined) return inForce;
    const [waiting] = unpermitted;
    if (waiting !== undefined && this.#options.waitsForPermits) {
      return { ...waiting, endsAt: now + PERMIT_WAIT_MILLISECONDS };
    }
    for (const { fingerprint } of blames) {
      this.#permits.delete(fingerprint);
      this.#blames.beginTrial(fingerprint, now);
    }
    return undefined;
  }

  /** Admits the next request that the blame applies to as the trial run. */
  permitTrial(name: string, now: number): void {
    if (!this.#blames.has(name)) return;
    this.#permits.set(name, now + PERMIT_MILLISECONDS);
  }

  expire(now: number): void {
    for (const [name, until] of this.#permits) {
      if (now >= until) this.#permits.delete(name);
    }
  }
}
