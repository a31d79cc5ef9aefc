import type { ProposalReply } from "./proposal_reply.ts";

type Settle = (reply: ProposalReply) => void;

/** Proposals under way on one stream, by number. */
export class ProposalWaiters {
  #number = 0;
  #waiting = new Map<number, Settle>();

  /** Numbers a proposal; without a reply in time its fate is unknown. */
  add(milliseconds: number): { number: number; reply: Promise<ProposalReply> } {
    this.#number += 1;
    const number = this.#number;
    const reply = new Promise<ProposalReply>((resolve) => {
      const timer = setTimeout(
        () => this.settle(number, { kind: "unknown" }),
        Math.max(0, milliseconds),
      );
      this.#waiting.set(number, (outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
    });
    return { number, reply };
  }

  settle(number: number, reply: ProposalReply): void {
    const settle = this.#waiting.get(number);
    this.#waiting.delete(number);
    settle?.(reply);
  }

  /** The stream is gone: what was under way may have been accepted. */
  loseAll(): void {
    for (const number of [...this.#waiting.keys()]) {
      this.settle(number, { kind: "unknown" });
    }
  }
}
