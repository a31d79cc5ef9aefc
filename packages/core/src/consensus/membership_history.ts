import type { Member, Membership } from "@teaselrouter/messages/control.ts";

type Change = { index: number; membership: Membership };

/**
 * Who votes and who only learns. A change counts from the moment it is in the
 * log, committed or not, and is undone when the log is truncated below it.
 */
export class MembershipHistory {
  #changes: Change[];

  constructor(index: number, membership: Membership) {
    this.#changes = [{ index, membership }];
  }

  get current(): Membership {
    return this.#latest.membership;
  }

  /** Log index of the latest change. */
  get changedAt(): number {
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

  truncateFrom(index: number): void {
    const kept = this.#changes.filter((change) => change.index < index);
    if (kept.length > 0) this.#changes = kept;
  }

  /** The membership in force at `index`, for a snapshot there. */
  at(index: number): Membership {
    const before = this.#changes.filter((change) => change.index <= index);
    return (before.at(-1) ?? this.#changes[0]!).membership;
  }

  get #latest(): Change {
    return this.#changes.at(-1)!;
  }
}
