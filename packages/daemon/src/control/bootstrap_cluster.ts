import { create } from "@bufbuild/protobuf";
import type { Member, Membership } from "@teaselrouter/messages/control.ts";
import {
  MemberSchema,
  MembershipSchema,
  PeerService,
} from "@teaselrouter/messages/control.ts";
import type { EventLog } from "../log/event_log.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";

const ASK_AGAIN_MILLISECONDS = 200;
const CALL_MILLISECONDS = 1_000;

type Founding = {
  settings: Settings;
  self: Member;
  clients: ClientPool;
  log: EventLog;
  isStopped: () => boolean;
  /** Told the members of a group that this one is not part of yet. */
  knownMembers: (membership: Membership) => void;
};

type Introduction = { member: Member; founded: Membership | undefined };

async function introduce(
  options: Founding,
  address: string,
): Promise<Introduction | undefined> {
  const client = options.clients.client(PeerService, address);
  try {
    const answer = await client.introduce({ member: options.self }, {
      timeoutMs: CALL_MILLISECONDS,
    });
    if (answer.member === undefined) return undefined;
    const founded = (answer.founded?.members.length ?? 0) > 0;
    return {
      member: answer.member,
      founded: founded ? answer.founded : undefined,
    };
  } catch {
    return undefined;
  }
}

/**
 * Finds the members that this one founds the log with, or waits to be taken
 * in. Ids have a random part made with the data folder. So a voter that lost
 * its disk comes back under an id that no membership names: it can't vote
 * twice in a term that it has forgotten, and waits until an operator
 * replaces it.
 */
export async function foundCluster(
  options: Founding,
): Promise<Membership | undefined> {
  const founders = options.settings.control!.founders;
  const others = founders.filter((founder) =>
    founder.address !== options.self.address
  );
  while (!options.isStopped()) {
    const answers = await Promise.all(
      others.map((founder) => introduce(options, founder.address)),
    );
    const founded = answers.find((answer) => answer?.founded)?.founded;
    if (founded !== undefined) {
      const named = founded.members.find((member) =>
        member.id === options.self.id
      );
      // A learner that has stored nothing yet starts like one not taken in.
      if (named !== undefined && !named.learner) return founded;
      options.log.warn("waiting-to-be-taken-in", { member: options.self.id });
      options.knownMembers(founded);
      return create(MembershipSchema);
    } else if (answers.every((answer) => answer !== undefined)) {
      const members = [options.self, ...answers.map((answer) => answer.member)]
        .sort((left, right) => left.id < right.id ? -1 : 1)
        .map((member) => create(MemberSchema, { ...member, learner: false }));
      return create(MembershipSchema, { members });
    }
    await new Promise((resolve) => setTimeout(resolve, ASK_AGAIN_MILLISECONDS));
  }
  return undefined;
}
