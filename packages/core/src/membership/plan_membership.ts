import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@teaselrouter/messages/control.ts";

/**
 * A control host that asked to join, or, as a learner, to vote no longer since
 * it stops.
 */
type Candidate = { member: Member; askedAt: number };

type MembershipView = {
  selfId: string;
  members: Member[];
  candidates: Candidate[];
  /** Number of voters to reach once there are enough hosts. */
  targetVoters: number;
  /** Also by the leaders before this one. */
  heardAt: (id: string) => number;
  /** When this leader began to lead. */
  leadingSince: number;
  isCaughtUp: (id: string) => boolean;
  now: number;
};

/** Candidates ask to join twice a second; one that stopped asking is gone. */
const CANDIDATE_EXPIRY_MILLISECONDS = 3_000;
/**
 * A host that is gone for good counts as lost until 4 s behind the start of its
 * successor, so a caught-up learner has to vote by then: another disk may be
 * lost at once. A voter that returns later becomes a learner in its turn.
 */
const LOST_VOTER_MILLISECONDS = 2_000;
const LOST_LEARNER_MILLISECONDS = 10_000;
/** A leader gives up nobody that it has not missed for so long itself. */
const MISSED_MILLISECONDS = 500;
/** A member counts as running if a message from it arrived within this time. */
const RUNNING_MILLISECONDS = 1_000;

/**
 * Returns the next list of members, or undefined if no change is needed. Adds,
 * promotes or removes one member at a time, so that the majorities of
 * consecutive lists overlap. A new host replicates all data as a learner before
 * it becomes a voter.
 */
export function planMembership(view: MembershipView): Member[] | undefined {
  return removeWipedMember(view) ?? promoteLearner(view) ?? addLearner(view) ??
    removeLostLearner(view) ?? removeLostVoter(view);
}

function freshCandidates(view: MembershipView): Member[] {
  return view.candidates
    .filter(({ askedAt }) =>
      view.now - askedAt <= CANDIDATE_EXPIRY_MILLISECONDS
    )
    .map(({ member }) => member);
}

/**
 * Removes a member whose host lost its disk. Such a host asks to join under a
 * new id from its old address; the old id can never respond again, and would
 * count against every majority.
 */
function removeWipedMember(view: MembershipView): Member[] | undefined {
  const wiped = view.members.find((member) =>
    member.id !== view.selfId &&
    freshCandidates(view).some(({ address, id }) =>
      address === member.address && id !== member.id
    )
  );
  return wiped && view.members.filter(({ id }) => id !== wiped.id);
}

function addLearner(view: MembershipView): Member[] | undefined {
  const known = new Set(view.members.map(({ id }) => id));
  const joining = freshCandidates(view).find(({ id, learner }) =>
    !known.has(id) && !learner
  );
  return joining &&
    [...view.members, create(MemberSchema, { ...joining, learner: true })];
}

function removeLostLearner(view: MembershipView): Member[] | undefined {
  const lost = view.members.find((member) =>
    member.learner && isLost(view, member, LOST_LEARNER_MILLISECONDS)
  );
  return lost && view.members.filter(({ id }) => id !== lost.id);
}

/**
 * Removes a voter that is silent, or stops, only if a running learner can take
 * its place, and only once one has taken the place of the voter before it.
 */
function removeLostVoter(view: MembershipView): Member[] | undefined {
  if (listVoters(view).length < view.targetVoters) return undefined;
  if (readyLearners(view).length === 0) return undefined;
  const stopping = new Set(
    freshCandidates(view).filter(({ learner }) => learner).map(({ id }) => id),
  );
  const lost = view.members.find((member) =>
    !member.learner && member.id !== view.selfId &&
    (stopping.has(member.id) || isLost(view, member, LOST_VOTER_MILLISECONDS))
  );
  return lost && view.members.filter(({ id }) => id !== lost.id);
}

/** A member that asks to be taken in is heard, though it follows nobody yet. */
function isLost(
  { heardAt, candidates, leadingSince, now }: MembershipView,
  { id }: Member,
  milliseconds: number,
): boolean {
  const asked = candidates.find(({ member }) =>
    member.id === id && !member.learner
  );
  const lastAt = Math.max(heardAt(id), asked?.askedAt ?? -Infinity);
  return now - lastAt > milliseconds &&
    now - Math.max(lastAt, leadingSince) > MISSED_MILLISECONDS;
}

function promoteLearner(view: MembershipView): Member[] | undefined {
  const voters = listVoters(view);
  if (voters.length >= view.targetVoters) return undefined;
  const votersIn = (dataCentre: string) =>
    voters.filter((voter) => voter.dataCentre === dataCentre).length;
  const [next] = readyLearners(view).sort((left, right) =>
    votersIn(left.dataCentre) - votersIn(right.dataCentre)
  );
  return next &&
    view.members.map((member) =>
      member.id === next.id
        ? create(MemberSchema, { ...member, learner: false })
        : member
    );
}

function listVoters({ members }: MembershipView): Member[] {
  return members.filter(({ learner }) => !learner);
}

function readyLearners(view: MembershipView): Member[] {
  return view.members.filter((member) =>
    member.learner && view.isCaughtUp(member.id) &&
    view.now - view.heardAt(member.id) <= RUNNING_MILLISECONDS
  );
}
