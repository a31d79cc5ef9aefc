import { create } from "@bufbuild/protobuf";
import {
  HardStateSchema,
  type Member,
  MemberSchema,
  MembershipSchema,
  type PeerMessage,
  SnapshotDataSchema,
} from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planMembership } from "../membership/plan_membership.ts";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { RaftNode } from "./raft_node.ts";

const ELECTION_MILLISECONDS = 400;
const HEARTBEAT_MILLISECONDS = 100;
const STEP_MILLISECONDS = 10;
const PLAN_INTERVAL_MILLISECONDS = 100;
const NAMES = ["a", "b", "c", "d", "e", "f"];
const VOTERS = 5;
/** From the loss of a host until the next one may be lost. */
const CATCH_UP_MILLISECONDS = 6_000;

/** Six control hosts, five of which vote; messages take one step. */
class SixHosts {
  readonly nodes = new Map<string, RaftNode>();
  readonly lost = new Set<string>();
  now = 0;
  #inbox: PeerMessage[] = [];

  constructor() {
    const members = NAMES.map((id, index) =>
      create(MemberSchema, { id, name: id, learner: index >= VOTERS })
    );
    const random = createSeededRandom(7);
    for (const id of NAMES) {
      this.nodes.set(
        id,
        new RaftNode({
          id,
          electionTimeoutMilliseconds: ELECTION_MILLISECONDS,
          heartbeatIntervalMilliseconds: HEARTBEAT_MILLISECONDS,
          random,
          hardState: create(HardStateSchema),
          snapshot: create(SnapshotDataSchema, {
            membership: create(MembershipSchema, { members }),
          }),
          entries: [],
          now: 0,
        }),
      );
    }
  }

  get leader(): RaftNode | undefined {
    return this.#running().find((node) => node.isLeading(this.now));
  }

  get voters(): string[] {
    const members = this.leader?.membership.members ?? [];
    return members.filter(({ learner }) => !learner).map(({ id }) => id);
  }

  /** Commits a change. */
  change(): void {
    this.leader?.propose(new Uint8Array(1), this.now);
    this.leader?.flush(this.now);
  }

  runUntil(at: number): void {
    while (this.now < at) this.#step();
  }

  #running(): RaftNode[] {
    return [...this.nodes.values()].filter(({ id }) => !this.lost.has(id));
  }

  #step(): void {
    this.now += STEP_MILLISECONDS;
    for (const message of this.#inbox.splice(0)) {
      if (this.lost.has(message.to)) continue;
      this.nodes.get(message.to)!.receive(message, this.now);
    }
    for (const node of this.#running()) {
      node.tick(this.now);
      this.#perform(node);
    }
    if (this.now % PLAN_INTERVAL_MILLISECONDS === 0) this.#plan();
  }

  #perform(node: RaftNode): void {
    this.#inbox.push(...node.takeImmediateMessages());
    while (node.hasOutput) {
      const output = node.takeOutput();
      this.#inbox.push(...output.immediateMessages);
      this.#inbox.push(...output.messagesAfterSync);
      const last = output.entries.at(-1);
      if (last !== undefined) node.markSynced(last.index, last.term);
    }
  }

  #plan(): void {
    const { leader } = this;
    if (!leader?.isMembershipCommitted) return;
    const members = planMembership({
      selfId: leader.id,
      members: leader.membership.members as Member[],
      candidates: [],
      targetVoters: VOTERS,
      heardAt: (id) => leader.heardAt(id),
      leadingSince: leader.leadingSince,
      isCaughtUp: (id) => leader.matchIndexOf(id) >= leader.commitIndex,
      now: this.now,
    });
    if (members === undefined) return;
    leader.proposeMembership(create(MembershipSchema, { members }), this.now);
    leader.flush(this.now);
  }
}

// Guards against leaders that follow each other so fast that none of them misses
// a lost voter for long enough: it keeps its vote, and the next losses leave no
// majority for good.
test("a lost voter is replaced though leaders change each second", () => {
  const hosts = new SixHosts();
  hosts.runUntil(3_000);
  const lost = hosts.voters.find((id) => id !== hosts.leader!.id)!;
  hosts.lost.add(lost);
  const lostAt = hosts.now;
  const leaders = new Set<number>();
  for (let at = lostAt; at < lostAt + CATCH_UP_MILLISECONDS; at += 1_000) {
    hosts.change();
    hosts.runUntil(at + 1_000);
    leaders.add(hosts.leader?.term ?? 0);
    hosts.leader?.transferLeadership(hosts.now);
  }
  hosts.runUntil(hosts.now + 2 * ELECTION_MILLISECONDS);
  assert.ok(leaders.size >= 4, `only ${leaders.size} terms`);
  assert.equal(hosts.voters.length, VOTERS);
  assert.ok(!hosts.voters.includes(lost), `${lost} still votes`);
});

// Guards against a stopping leader that hands its lead to a voter that is gone,
// as that one missed nothing: nobody leads until an election is due.
test("a leader hands its lead to a voter that runs", () => {
  const hosts = new SixHosts();
  hosts.runUntil(3_000);
  const { leader } = hosts;
  for (const id of hosts.voters.filter((id) => id !== leader!.id).slice(0, 2)) {
    hosts.lost.add(id);
  }
  hosts.runUntil(hosts.now + ELECTION_MILLISECONDS + HEARTBEAT_MILLISECONDS);
  assert.equal(hosts.leader?.id, leader!.id);
  leader!.transferLeadership(hosts.now);
  hosts.runUntil(hosts.now + HEARTBEAT_MILLISECONDS);
  assert.ok(hosts.leader !== undefined && hosts.leader.id !== leader!.id);
});
