import { create } from "@bufbuild/protobuf";
import {
  type Member,
  MemberSchema,
  MembershipSchema,
} from "@teaselrouter/messages/control.ts";
import { Result } from "true-myth";
import { sleep } from "../transport/sleep.ts";
import type { ControlHost } from "./control_host.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const STEP_INTERVAL_MILLISECONDS = 20;
const REPLACE_TIMEOUT_MILLISECONDS = 30_000;

/** The next membership to propose; undefined once the replacement is done. */
function nextMembers(
  control: ControlHost,
  joining: Member,
): Member[] | undefined {
  const { node } = control;
  const { members } = node.membership;
  const existing = members.find(({ id }) => id === joining.id);
  if (existing === undefined) {
    return [...members, create(MemberSchema, { ...joining, learner: true })];
  }
  const lost = members.find(({ id, name }) =>
    name === joining.name && id !== joining.id
  );
  if (lost !== undefined) return members.filter(({ id }) => id !== lost.id);
  if (!existing.learner) return undefined;
  return members.map((member) =>
    member.id === joining.id
      ? create(MemberSchema, { ...member, learner: false })
      : member
  );
}

function isCaughtUp(control: ControlHost, joining: Member): boolean {
  const { node } = control;
  const existing = node.membership.members.some(({ id }) => id === joining.id);
  return !existing || node.matchIndexOf(joining.id) >= node.commitIndex;
}

/**
 * Replaces a lost voter with a new member, one membership change at a time: the
 * new member is added as a learner and catches up, the lost id is removed, and
 * the learner becomes a voter. Returns the new member's id, or an error. A
 * repeated call continues where the last one stopped.
 */
export async function replaceMember(
  control: ControlHost,
  joining: Member,
): Promise<Result<string, string>> {
  const deadline = monotonicMilliseconds() + REPLACE_TIMEOUT_MILLISECONDS;
  while (monotonicMilliseconds() < deadline) {
    if (!control.isLeading(monotonicMilliseconds())) {
      return Result.err("no-leader");
    }
    const { node } = control;
    if (node.isMembershipCommitted && isCaughtUp(control, joining)) {
      const members = nextMembers(control, joining);
      if (members === undefined) return Result.ok(joining.id);
      control.proposeMembership(create(MembershipSchema, { members }));
    }
    await sleep(STEP_INTERVAL_MILLISECONDS);
  }
  return Result.err("the new member did not catch up in time; send it again");
}
