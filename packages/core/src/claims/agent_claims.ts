/** Six times the longest deadline: no copy of a call is on its way longer. */
const KEPT_MILLISECONDS = 3_600_000;
const DROPPED_PER_CALL = 4;

type Known = {
  claimIndex: number;
  requestId: string;
  tombstoned: boolean;
  at: number;
};

type Verdict =
  | { kind: "run" }
  | { kind: "attach"; requestId: string }
  | { kind: "refuse"; outcome: "not-run" | "unknown"; reason: string };

/**
 * What one agent process knows of claims. A key runs once per process; a
 * claim for another process, or one declared dead here, never runs.
 */
export class AgentClaims {
  #incarnation: string;
  /** By key, oldest first. */
  #known = new Map<string, Known>();

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /** Decides about a call that arrived under a claim. */
  admit(
    claim: {
      key: string;
      claimIndex: number;
      incarnation: string;
      requestId: string;
    },
    now: number,
  ): Verdict {
    this.#drop(now);
    // The claim was for a process that may have run it before it died.
    if (claim.incarnation !== this.#incarnation) {
      return { kind: "refuse", outcome: "unknown", reason: "agent-restarted" };
    }
    const known = this.#known.get(claim.key);
    if (known === undefined || known.claimIndex < claim.claimIndex) {
      const { claimIndex, requestId } = claim;
      this.#set(claim.key, {
        claimIndex,
        requestId,
        tombstoned: false,
        at: now,
      });
      return { kind: "run" };
    }
    if (known.claimIndex > claim.claimIndex || known.tombstoned) {
      return { kind: "refuse", outcome: "not-run", reason: "claim-withdrawn" };
    }
    return { kind: "attach", requestId: known.requestId };
  }

  /** Whether the claim, or a later one of its key, was seen here. */
  has(key: string, claimIndex: number): boolean {
    return (this.#known.get(key)?.claimIndex ?? -1) >= claimIndex;
  }

  /**
   * Withdraws a claim that has not arrived, so that it never will run here.
   * Gives back the request that runs it if it has arrived.
   */
  settle(key: string, claimIndex: number, now: number): string | undefined {
    const known = this.#known.get(key);
    const arrived = known !== undefined && known.claimIndex >= claimIndex;
    if (arrived) return known.tombstoned ? undefined : known.requestId;
    this.withdraw(key, claimIndex, now);
    return undefined;
  }

  /** A call that was admitted surely did not run and never will. */
  withdraw(key: string, claimIndex: number, now: number): void {
    this.#set(key, { claimIndex, requestId: "", tombstoned: true, at: now });
  }

  #set(key: string, known: Known): void {
    this.#known.delete(key);
    this.#known.set(key, known);
  }

  #drop(now: number): void {
    let looked = 0;
    for (const [key, { at }] of this.#known) {
      if (looked >= DROPPED_PER_CALL || now - at < KEPT_MILLISECONDS) return;
      this.#known.delete(key);
      looked += 1;
    }
  }
}
