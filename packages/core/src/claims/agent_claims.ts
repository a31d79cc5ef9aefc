/** Six times the longest deadline; no copy of a call is in transit longer. */
const RETENTION_MILLISECONDS = 3_600_000;
const MAX_DROPPED_PER_CALL = 4;

type ClaimRecord = {
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
 * Tracks the claims that one agent process knows. A key runs once per process;
 * a claim for another process, or one that was tombstoned here, never runs.
 */
export class AgentClaims {
  #incarnation: string;
  /** Ordered from oldest to newest. */
  #recordByKey = new Map<string, ClaimRecord>();

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /**
   * Decides whether a call that arrived under a claim runs, attaches to the
   * request that runs the claim already, or is refused.
   */
  admit(
    claim: {
      key: string;
      claimIndex: number;
      incarnation: string;
      requestId: string;
    },
    now: number,
  ): Verdict {
    this.#dropExpired(now);
    // The claim was for another agent process, which may have run the call
    // before that process ended.
    if (claim.incarnation !== this.#incarnation) {
      return { kind: "refuse", outcome: "unknown", reason: "agent-restarted" };
    }
    const record = this.#recordByKey.get(claim.key);
    if (record === undefined || record.claimIndex < claim.claimIndex) {
      const { claimIndex, requestId } = claim;
      this.#set(claim.key, {
        claimIndex,
        requestId,
        tombstoned: false,
        at: now,
      });
      return { kind: "run" };
    }
    if (record.claimIndex > claim.claimIndex || record.tombstoned) {
      return { kind: "refuse", outcome: "not-run", reason: "claim-withdrawn" };
    }
    return { kind: "attach", requestId: record.requestId };
  }

  /** Whether the claim, or a later one of its key, is known here. */
  has(key: string, claimIndex: number): boolean {
    return (this.#recordByKey.get(key)?.claimIndex ?? -1) >= claimIndex;
  }

  /**
   * Tombstones a claim that has not arrived, so that its call never runs here.
   * Returns the id of the request that runs the call if the claim has arrived
   * and was not withdrawn, else undefined.
   */
  withdrawUnlessKnown(
    key: string,
    claimIndex: number,
    now: number,
  ): string | undefined {
    const record = this.#recordByKey.get(key);
    const isKnown = record !== undefined && record.claimIndex >= claimIndex;
    if (isKnown) return record.tombstoned ? undefined : record.requestId;
    this.withdraw(key, claimIndex, now);
    return undefined;
  }

  /** Tombstones a claim whose call certainly did not run and never will. */
  withdraw(key: string, claimIndex: number, now: number): void {
    this.#set(key, { claimIndex, requestId: "", tombstoned: true, at: now });
  }

  #set(key: string, record: ClaimRecord): void {
    this.#recordByKey.delete(key);
    this.#recordByKey.set(key, record);
  }

  #dropExpired(now: number): void {
    let dropped = 0;
    for (const [key, { at }] of this.#recordByKey) {
      if (
        dropped >= MAX_DROPPED_PER_CALL || now - at < RETENTION_MILLISECONDS
      ) return;
      this.#recordByKey.delete(key);
      dropped += 1;
    }
  }
}
