import type { ProposalReply } from "./proposal_reply.ts";

type Settle = (reply: ProposalReply) => void;

/** The proposals of one entry host that await a result, by number. */
export class PendingProposals {
  #lastNumber = 0;
  #pending = new Map<number, Settle>();

  /**
   * Assigns the next number to a proposal. The reply resolves to "unknown" if
   * no result arrives within `milliseconds`.
   */
  add(milliseconds: number): { number: number; reply: Promise<ProposalReply> } {
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    const reply = new Promise<ProposalReply>((resolve) => {
      const timer = setTimeout(
        () => this.settle(number, { kind: "unknown" }),
        Math.max(0, milliseconds),
      );
      this.#pending.set(number, (outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
    });
    return { number, reply };
  }

  settle(number: number, reply: ProposalReply): void {
    const settle = this.#pending.get(number);
    this.#pending.delete(number);
    settle?.(reply);
  }

  /**
   * Called when the stream to the control host has ended: the pending proposals
   * may have been accepted.
   */
  settleAllAsUnknown(): void {
    for (const number of [...this.#pending.keys()]) {
      this.settle(number, { kind: "unknown" });
    }
  }
}
