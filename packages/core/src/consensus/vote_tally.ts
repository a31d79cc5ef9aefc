/** Collects the votes granted in one pre-vote or election. */
export class VoteTally {
  readonly preVote: boolean;
  readonly transfer: boolean;
  #grantedBy = new Set<string>();

  constructor(options: { preVote: boolean; transfer: boolean }) {
    this.preVote = options.preVote;
    this.transfer = options.transfer;
  }

  addVote(id: string): void {
    this.#grantedBy.add(id);
  }

  /** Votes granted by members that are voters now. */
  countVotes(isVoter: (id: string) => boolean): number {
    return [...this.#grantedBy].filter(isVoter).length;
  }
}
