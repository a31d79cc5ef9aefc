import type { Member, Membership } from "@teaselrouter/messages/control.ts";

type MembershipChange = { index: number; membership: Membership };

/**
 * The voters and learners, and the log index of each change to them. A change
 * takes effect once it is in the log, committed or not, and is undone when log
 * truncation removes it.
 */
export class MembershipHistory {
  #changes: MembershipChange[];

  constructor(index: number, membership: Membership) {
    this.#changes = [{ index, membership }];
  }

  get current(): Membership {
    return this.#latest.membership;
  }

  /** Log index of the latest membership change. */
  get lastChangeIndex(): number {
    return this.#latest.index;
  }

  get voters(): Member[] {
    return this.current.members.filter((member) => !member.learner);
  }

  get quorum(): number {
    return Math.floor(this.voters.length / 2) + 1;
  }

  isVoter(id: string): boolean {
    return this.voters.some((member) => member.id === id);
  }

  record(index: number, membership: Membership): void {
    this.#changes.push({ index, membership });
  }

  /**
   * Undoes the changes from log index `index` on. Does nothing if that would
   * undo all of them.
   */
  truncateFrom(index: number): void {
    const kept = this.#changes.filter((change) => change.index < index);
    if (kept.length > 0) this.#changes = kept;
  }

  /** The membership in effect at `index`, for a snapshot that ends there. */
  membershipAt(index: number): Membership {
    const before = this.#changes.filter((change) => change.index <= index);
    return (before.at(-1) ?? this.#changes[0]!).membership;
  }

  get #latest(): MembershipChange {
    return this.#changes.at(-1)!;
  }
}
