import type { ChangeAnswer } from "@teaselrouter/core/state/change_answer.ts";

/** What an entry host learns of a command that it had proposed. */
export type ProposalReply =
  | {
    kind: "committed";
    index: number;
    answer: ChangeAnswer;
    inForce: boolean;
    hostsWithoutLease: string[];
  }
  /** It was not and will not be accepted. */
  | { kind: "not-proposed" }
  /** It may have been accepted. */
  | { kind: "unknown" };
