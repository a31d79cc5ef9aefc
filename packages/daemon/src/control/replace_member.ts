import { create } from "@bufbuild/protobuf";
import {
  type Member,
  MemberSchema,
  MembershipSchema,
} from "@teaselrouter/messages/control.ts";
import { Result } from "true-myth";
import { pause } from "../transport/pause.ts";
import type { ControlHost } from "./control_host.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const STEP_MILLISECONDS = 20;
const REPLACE_MILLISECONDS = 30_000;

/** The members that come next, or undefined when the repair is done. */
function nextMembers(
  control: ControlHost,
  joining: Member,
): Member[] | undefined {
  const { node } = control;
  const { members } = node.membership;
  const known = members.find(({ id }) => id === joining.id);
  if (known === undefined) {
    return [...members, create(MemberSchema, { ...joining, learner: true })];
  }
  const lost = members.find(({ id, name }) =>
    name === joining.name && id !== joining.id
  );
  if (lost !== undefined) return members.filter(({ id }) => id !== lost.id);
  if (!known.learner) return undefined;
  return members.map((member) =>
    member.id === joining.id
      ? create(MemberSchema, { ...member, learner: false })
      : member
  );
}

function isCaughtUp(control: ControlHost, joining: Member): boolean {
  const { node } = control;
  const known = node.membership.members.some(({ id }) => id === joining.id);
  return !known || node.matchIndexOf(joining.id) >= node.commitIndex;
}

/**
 * Gives a lost voter's place to a new member, one change at a time: it first
 * learns everything, then the lost id goes, then it votes. Sent again, it
 * goes on where it stopped.
 */
export async function replaceMember(
  control: ControlHost,
  joining: Member,
): Promise<Result<string, string>> {
  const until = monotonicMilliseconds() + REPLACE_MILLISECONDS;
  while (monotonicMilliseconds() < until) {
    if (!control.isLeading(monotonicMilliseconds())) {
      return Result.err("no-leader");
    }
    const { node } = control;
    if (node.membershipIsCommitted && isCaughtUp(control, joining)) {
      const members = nextMembers(control, joining);
      if (members === undefined) return Result.ok(joining.id);
      control.proposeMembership(create(MembershipSchema, { members }));
    }
    await pause(STEP_MILLISECONDS);
  }
  return Result.err("the new member did not catch up in time; send it again");
}
