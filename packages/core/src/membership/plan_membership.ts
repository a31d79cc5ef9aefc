import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@teaselrouter/messages/control.ts";

/** A control host that asked to be taken in. */
type Candidate = { member: Member; askedAt: number };

type View = {
  selfId: string;
  members: Member[];
  candidates: Candidate[];
  /** Voters to have once there are hosts enough. */
  wantedVoters: number;
  heardAt: (id: string) => number;
  isCaughtUp: (id: string) => boolean;
  now: number;
};

/** Two joins are asked a second; one that stopped asking is gone. */
const CANDIDATE_MILLISECONDS = 3_000;
/**
 * Longer than a restart takes on these hosts: a voter that comes back with
 * its disk is worth more than one that has to learn everything.
 */
const LOST_VOTER_MILLISECONDS = 6_000;
const LOST_LEARNER_MILLISECONDS = 10_000;
/** Heard so lately a member counts as running. */
const RUNNING_MILLISECONDS = 1_000;

/**
 * The members that come next, or undefined when nothing is to be changed.
 * One member is added, promoted or removed at a time, so that any two
 * majorities in a row overlap. A new host first learns everything.
 */
export function planMembership(view: View): Member[] | undefined {
  return removeWiped(view) ?? addLearner(view) ?? removeLearner(view) ??
    replaceVoter(view) ?? promote(view);
}

function freshCandidates(view: View): Member[] {
  return view.candidates
    .filter(({ askedAt }) => view.now - askedAt <= CANDIDATE_MILLISECONDS)
    .map(({ member }) => member);
}

/**
 * A host that lost its disk asks under a new id from its old address. The old
 * id can never answer again, and would count against every majority.
 */
function removeWiped(view: View): Member[] | undefined {
  const wiped = view.members.find((member) =>
    member.id !== view.selfId &&
    freshCandidates(view).some(({ address, id }) =>
      address === member.address && id !== member.id
    )
  );
  return wiped && view.members.filter(({ id }) => id !== wiped.id);
}

function addLearner(view: View): Member[] | undefined {
  const known = new Set(view.members.map(({ id }) => id));
  const joining = freshCandidates(view).find(({ id }) => !known.has(id));
  return joining &&
    [...view.members, create(MemberSchema, { ...joining, learner: true })];
}

function removeLearner(view: View): Member[] | undefined {
  const lost = view.members.find((member) =>
    member.learner &&
    view.now - view.heardAt(member.id) > LOST_LEARNER_MILLISECONDS
  );
  return lost && view.members.filter(({ id }) => id !== lost.id);
}

/** A silent voter goes only where a running learner can take its place. */
function replaceVoter(view: View): Member[] | undefined {
  if (readyLearners(view).length === 0) return undefined;
  const lost = view.members.find((member) =>
    !member.learner && member.id !== view.selfId &&
    view.now - view.heardAt(member.id) > LOST_VOTER_MILLISECONDS
  );
  return lost && view.members.filter(({ id }) => id !== lost.id);
}

function promote(view: View): Member[] | undefined {
  const voters = view.members.filter(({ learner }) => !learner);
  if (voters.length >= view.wantedVoters) return undefined;
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

function readyLearners(view: View): Member[] {
  return view.members.filter((member) =>
    member.learner && view.isCaughtUp(member.id) &&
    view.now - view.heardAt(member.id) <= RUNNING_MILLISECONDS
  );
}
