import { create } from "@bufbuild/protobuf";
import {
  type Member,
  MemberSchema,
  type Membership,
  PeerService,
} from "@teaselrouter/messages/control.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import type { ControlHost } from "./control_host.ts";

const MAX_WAIT_MILLISECONDS = 1_000;
const CALL_TIMEOUT_MILLISECONDS = 300;
const STEP_INTERVAL_MILLISECONDS = 50;

type Options = { control: ControlHost; self: Member; clients: ClientPool };

/**
 * Has a learner vote in the place of this host, which stops, so that it isn't
 * missed if it never returns. Resolves when the learner votes, at once if there
 * is none, or after a second.
 */
export async function giveUpVote(
  { control, self, clients }: Options,
): Promise<void> {
  const { members } = control.node.membership;
  const isVoter = members.some(({ id, learner }) => id === self.id && !learner);
  if (!isVoter || !members.some(({ learner }) => learner)) return;
  const wanted = countVoters(control.node.membership);
  const member = create(MemberSchema, { ...self, learner: true });
  const deadline = monotonicMilliseconds() + MAX_WAIT_MILLISECONDS;
  while (monotonicMilliseconds() < deadline) {
    const { leaderAddress } = control;
    if (leaderAddress !== "" && leaderAddress !== self.address) {
      const answer = await clients.client(PeerService, leaderAddress)
        .introduce({ member }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })
        .catch(() => undefined);
      const founded = answer?.founded;
      const isDone = founded !== undefined && countVoters(founded) >= wanted &&
        !founded.members.some(({ id, learner }) => id === self.id && !learner);
      if (isDone) return;
    }
    await sleep(STEP_INTERVAL_MILLISECONDS);
  }
}

function countVoters({ members }: Membership): number {
  return members.filter(({ learner }) => !learner).length;
}
