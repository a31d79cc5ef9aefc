import { create } from "@bufbuild/protobuf";
import { planMembership } from "@teaselrouter/core/membership/plan_membership.ts";
import {
  type Member,
  MembershipSchema,
} from "@teaselrouter/messages/control.ts";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ControlHost } from "./control_host.ts";

const STEP_MILLISECONDS = 100;

type Options = { control: ControlHost; wantedVoters: number; log: EventLog };

/** Changes the members without an operator, while this host leads. */
export class MembershipKeeper {
  #options: Options;
  /** Hosts that asked to be taken in, by address: each has one identity. */
  #candidates = new Map<string, { member: Member; askedAt: number }>();
  #timer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.#timer = setInterval(() => this.#step(), STEP_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** A host that is no member, or hears no leader, asks to be taken in. */
  takeCandidate(member: Member): void {
    const askedAt = monotonicMilliseconds();
    this.#candidates.set(member.address, { member, askedAt });
  }

  #step(): void {
    const { control, wantedVoters, log } = this.#options;
    const { node } = control;
    const now = monotonicMilliseconds();
    if (!control.isLeading(now) || !node.membershipIsCommitted) return;
    const members = planMembership({
      selfId: node.id,
      members: node.membership.members,
      candidates: [...this.#candidates.values()],
      wantedVoters,
      heardAt: (id) => node.heardAt(id),
      isCaughtUp: (id) => node.matchIndexOf(id) >= node.commitIndex,
      now,
    });
    if (members === undefined) return;
    log.info("membership-change", {
      term: node.term,
      members: describe(members),
      before: describe(node.membership.members),
    });
    control.proposeMembership(create(MembershipSchema, { members }));
  }
}

function describe(members: Member[]): string {
  return members.map(({ id, learner }) => `${id}${learner ? ":learner" : ""}`)
    .join(",");
}
