/** Counts one election's answers. */
export class VoteTally {
  readonly preVote: boolean;
  readonly transfer: boolean;
  #granted = new Set<string>();

  constructor(options: { preVote: boolean; transfer: boolean }) {
    this.preVote = options.preVote;
    this.transfer = options.transfer;
  }

  grant(id: string): void {
    this.#granted.add(id);
  }

  count(isVoter: (id: string) => boolean): number {
    return [...this.#granted].filter(isVoter).length;
  }
}
