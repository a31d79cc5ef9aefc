import type { ProposalReply } from "../sessions/proposal_reply.ts";
import type { Proposer } from "../sessions/proposer.ts";

type Order = {
  dataCentre: string;
  isEvacuated: boolean;
  /** Whether the caller's connection is still open. */
  isWaiting: () => boolean;
};

/**
 * Proposes to evacuate a data centre or to end that, again if another order was
 * committed before it, until the caller leaves.
 */
export async function proposeEvacuation(
  proposer: Proposer,
  { dataCentre, isEvacuated, isWaiting }: Order,
): Promise<ProposalReply> {
  let expected = proposer.state.evacuations.get(dataCentre)?.number ?? 0;
  while (true) {
    const reply = await proposer.propose({
      kind: "order-evacuation",
      dataCentre,
      isEvacuated,
      expected,
      at: 0,
    });
    const isSuperseded = reply.kind === "committed" &&
      !reply.result.accepted && reply.result.reason === "superseded";
    if (!isSuperseded || !isWaiting()) return reply;
    expected = Number(reply.result.value);
  }
}
