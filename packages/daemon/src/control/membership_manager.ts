import { create } from "@bufbuild/protobuf";
import { planMembership } from "@teaselrouter/core/membership/plan_membership.ts";
import {
  type Member,
  MembershipSchema,
} from "@teaselrouter/messages/control.ts";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ControlHost } from "./control_host.ts";

const STEP_INTERVAL_MILLISECONDS = 100;
/** A voter that is silent for longer is told, with what it is waited for. */
const TOLD_MISSING_MILLISECONDS = 2_000;

type Options = { control: ControlHost; targetVoters: number; log: EventLog };

/** Changes the membership automatically while this host leads. */
export class MembershipManager {
  #options: Options;
  /** Hosts that asked to join, by address: each has one id, the latest. */
  #candidates = new Map<string, { member: Member; askedAt: number }>();
  /** Voters that were told to be missed in a term. */
  #missed = { term: 0, ids: new Set<string>() };
  #timer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.#timer = setInterval(
      () => this.#proposeNextChange(),
      STEP_INTERVAL_MILLISECONDS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Called when a host that is no member, or has no leader, asks to join. */
  addCandidate(member: Member): void {
    const askedAt = monotonicMilliseconds();
    this.#candidates.set(member.address, { member, askedAt });
  }

  #proposeNextChange(): void {
    const { control, targetVoters: targetVoters, log } = this.#options;
    const { node } = control;
    const now = monotonicMilliseconds();
    if (!control.isLeading(now)) return;
    this.#logMissedVoters(now);
    if (!node.isMembershipCommitted) return;
    const members = planMembership({
      selfId: node.id,
      members: node.membership.members,
      candidates: [...this.#candidates.values()],
      targetVoters,
      heardAt: (id) => node.heardAt(id),
      leadingSince: node.leadingSince,
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

  /** Once for each voter and term: what the others need is one vote less. */
  #logMissedVoters(now: number): void {
    const { control: { node }, log } = this.#options;
    const { term, membership: { members } } = node;
    if (this.#missed.term !== term) this.#missed = { term, ids: new Set() };
    for (const { id, learner } of members) {
      const milliseconds = now - node.heardAt(id);
      if (
        learner || id === node.id || milliseconds < TOLD_MISSING_MILLISECONDS
      ) {
        continue;
      }
      if (this.#missed.ids.has(id)) continue;
      this.#missed.ids.add(id);
      log.warn("voter-missed", {
        member: id,
        term,
        milliseconds: Math.round(milliseconds),
        is_committed: node.isMembershipCommitted,
        members: members.map((other) =>
          `${other.id}${other.learner ? ":learner" : ""}=` +
          `${node.commitIndex - node.matchIndexOf(other.id)}`
        ).join(","),
      });
    }
  }
}

function describe(members: Member[]): string {
  return members.map(({ id, learner }) => `${id}${learner ? ":learner" : ""}`)
    .join(",");
}
