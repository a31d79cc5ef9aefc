import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planMembership } from "./plan_membership.ts";

const NOW = 100_000;

function member(
  id: string,
  change: { dataCentre?: string; address?: string; learner?: boolean } = {},
): Member {
  return create(MemberSchema, {
    id,
    name: id,
    address: `${id}:7700`,
    dataCentre: id,
    ...change,
  });
}

type Change = Partial<Parameters<typeof planMembership>[0]> & {
  silent?: string[];
};

function plan(change: Change): string[] | undefined {
  const { silent = [], ...view } = change;
  const members = planMembership({
    selfId: "a",
    members: [member("a"), member("b"), member("c")],
    candidates: [],
    targetVoters: 3,
    heardAt: (id) => silent.includes(id) ? NOW - 20_000 : NOW,
    leadingSince: NOW - 60_000,
    isCaughtUp: () => true,
    now: NOW,
    ...view,
  });
  return members?.map(({ id, learner }) => learner ? `${id}:learner` : id);
}

test("nothing changes while all members are running", () => {
  assert.equal(plan({}), undefined);
});

test("a candidate joins as a learner, and votes when a voter is needed", () => {
  const candidates = [{ member: member("d"), askedAt: NOW - 100 }];
  assert.deepEqual(plan({ candidates }), ["a", "b", "c", "d:learner"]);
  const members = [
    member("a"),
    member("b"),
    member("d", { learner: true }),
  ];
  assert.deepEqual(plan({ members }), ["a", "b", "d"]);
  assert.equal(plan({ members, isCaughtUp: () => false }), undefined);
});

test("a candidate that stopped asking does not join", () => {
  const candidates = [{ member: member("d"), askedAt: NOW - 10_000 }];
  assert.equal(plan({ candidates }), undefined);
});

test("a host that returns with an empty disk replaces its old member", () => {
  // A control host loses its disk and asks to join under a new id from its old
  // address. The old id is removed first: it can never respond again.
  const wiped = member("c2", { address: "c:7700" });
  const candidates = [{ member: wiped, askedAt: NOW }];
  assert.deepEqual(plan({ candidates }), ["a", "b"]);
  const members = [member("a"), member("b")];
  assert.deepEqual(plan({ candidates, members }), ["a", "b", "c2:learner"]);
});

test("a silent voter stays until a learner can take its place", () => {
  assert.equal(plan({ silent: ["c"] }), undefined);
  const members = [
    member("a"),
    member("b"),
    member("c"),
    member("d", { learner: true }),
  ];
  assert.deepEqual(plan({ silent: ["c"], members }), ["a", "b", "d:learner"]);
  assert.equal(
    plan({ silent: ["c"], members, isCaughtUp: () => false }),
    undefined,
  );
});

// Guards against a lost voter that counts for so long that the next loss, which
// may come once its successor has caught up, leaves no majority for good.
test("a learner takes a lost voter's place before the next loss may come", () => {
  const members = [
    member("a"),
    member("b"),
    member("c"),
    member("d", { learner: true }),
  ];
  const silentFor = (milliseconds: number) =>
    plan({
      members,
      heardAt: (id) => id === "c" ? NOW - milliseconds : NOW,
    });
  assert.equal(silentFor(1_500), undefined);
  assert.deepEqual(silentFor(2_100), ["a", "b", "d:learner"]);
});

// Guards against a new leader that gives up a voter for the silence that an
// earlier one saw: the voter may have been cut off from that one alone.
test("a leader gives up no voter that it has not missed itself", () => {
  const members = [
    member("a"),
    member("b"),
    member("c"),
    member("d", { learner: true }),
  ];
  const leadingFor = (milliseconds: number) =>
    plan({ silent: ["c"], members, leadingSince: NOW - milliseconds });
  assert.equal(leadingFor(400), undefined);
  assert.deepEqual(leadingFor(600), ["a", "b", "d:learner"]);
});

// Guards against a host that stops for good and is missed until it has been
// silent for long, and against one that is lost for want of a spare host.
test("a voter that stops gives its vote to a learner at once", () => {
  const candidates = [{ member: member("c", { learner: true }), askedAt: NOW }];
  assert.equal(plan({ candidates }), undefined);
  const members = [
    member("a"),
    member("b"),
    member("c"),
    member("d", { learner: true }),
  ];
  assert.deepEqual(plan({ candidates, members }), ["a", "b", "d:learner"]);
  const without = [member("a"), member("b"), member("d", { learner: true })];
  assert.deepEqual(plan({ candidates, members: without }), ["a", "b", "d"]);
});

test("voters are spread over the data centres", () => {
  const members = [
    member("a", { dataCentre: "x" }),
    member("b", { dataCentre: "y" }),
    member("c", { dataCentre: "x", learner: true }),
    member("d", { dataCentre: "z", learner: true }),
  ];
  assert.deepEqual(plan({ members }), ["a", "b", "c:learner", "d"]);
});

test("a learner that has been silent for long is removed", () => {
  const members = [
    member("a"),
    member("b"),
    member("c"),
    member("d", { learner: true }),
  ];
  assert.deepEqual(plan({ silent: ["d"], members }), ["a", "b", "c"]);
});

/** The lists of members that follow each other until no change is needed. */
function planAll(change: Change & { members: Member[] }): string[][] {
  const lists: string[][] = [];
  let { members } = change;
  for (let step = 0; step < 20; step += 1) {
    const next = plan({ ...change, members });
    if (next === undefined) return lists;
    lists.push(next);
    members = next.map((each) => {
      const [id, learner] = each.split(":");
      return member(id!, { learner: learner !== undefined });
    });
  }
  assert.fail("the members don't settle");
}

function countVoters(members: string[]): number {
  return members.filter((each) => !each.endsWith(":learner")).length;
}

// Guards against two lost voters that are given up for one learner: the next two
// losses, which may come as soon as their hosts have returned, leave no majority.
test("no more voters are given up than learners take the place of", () => {
  const members = [
    ...["a", "b", "c", "d", "e"].map((id) => member(id)),
    member("f", { learner: true }),
  ];
  const lists = planAll({ members, targetVoters: 5, silent: ["b", "c"] });
  assert.ok(lists.every((list) => countVoters(list) >= 4), `${lists}`);
  assert.deepEqual(lists.at(-1), ["a", "c", "d", "e", "f"]);
});

// Guards against a learner that waits for its vote until all others are taken
// in, one change after the other, while too few vote.
test("a learner votes before others are taken in", () => {
  const candidates = [
    { member: member("g"), askedAt: NOW },
    { member: member("h"), askedAt: NOW },
  ];
  const members = [
    ...["a", "b", "c", "d"].map((id) => member(id)),
    member("f", { learner: true }),
  ];
  const [first] = planAll({ members, targetVoters: 5, candidates });
  assert.deepEqual(first, ["a", "b", "c", "d", "f"]);
});

// Guards against a voter that is given up for the silence before its restart,
// though it asks whom to follow: one vote less, for nothing.
test("a voter that has returned and asks to be taken in stays", () => {
  const members = [
    ...["a", "b", "c"].map((id) => member(id)),
    member("d", { learner: true }),
  ];
  const candidates = [{ member: member("c"), askedAt: NOW - 300 }];
  assert.equal(plan({ members, candidates, silent: ["c"] }), undefined);
});
