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

const RETRY_DELAY_MILLISECONDS = 200;
const CALL_TIMEOUT_MILLISECONDS = 1_000;

type Options = {
  settings: Settings;
  self: Member;
  clients: ClientPool;
  log: EventLog;
  isStopped: () => boolean;
  /** Called with the members of a cluster that this host has not joined. */
  onMembership: (membership: Membership) => void;
};

type Introduction = { member: Member; founded: Membership | undefined };

async function introduce(
  options: Options,
  address: string,
): Promise<Introduction | undefined> {
  const client = options.clients.client(PeerService, address);
  try {
    const answer = await client.introduce({ member: options.self }, {
      timeoutMs: CALL_TIMEOUT_MILLISECONDS,
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
 * Returns the members to start the log with. Retries until every founder has
 * answered, or one answers that the cluster exists. Returns an empty membership
 * if it exists and this host is not a voter in it, so that the host has to be
 * added, and undefined if stopped.
 *
 * Member ids have a random part generated with the data folder. A voter that
 * lost its disk therefore returns under an id that no membership contains: it
 * can't vote twice in a term that it has forgotten, and waits until an operator
 * replaces it.
 */
export async function bootstrapCluster(
  options: Options,
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
      const ownEntry = founded.members.find((member) =>
        member.id === options.self.id
      );
      // A learner that has stored nothing yet starts like a host that has not
      // joined.
      if (ownEntry !== undefined && !ownEntry.learner) return founded;
      options.log.warn("waiting-to-be-taken-in", { member: options.self.id });
      options.onMembership(founded);
      return create(MembershipSchema);
    } else if (answers.every((answer) => answer !== undefined)) {
      const members = [options.self, ...answers.map((answer) => answer.member)]
        .sort((left, right) => left.id < right.id ? -1 : 1)
        .map((member) => create(MemberSchema, { ...member, learner: false }));
      return create(MembershipSchema, { members });
    }
    await new Promise((resolve) =>
      setTimeout(resolve, RETRY_DELAY_MILLISECONDS)
    );
  }
  return undefined;
}
