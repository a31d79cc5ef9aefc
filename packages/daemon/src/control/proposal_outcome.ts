import type { ChangeAnswer } from "@teaselrouter/core/state/change_answer.ts";

/** The outcome of a proposed command. */
export type ProposalOutcome =
  | {
    kind: "committed";
    index: number;
    answer: ChangeAnswer;
    /** Whether every entry host with a live lease has applied it. */
    inForce: boolean;
    hostsWithoutLease: string[];
  }
  | { kind: "not-proposed" }
  | { kind: "unknown" };
