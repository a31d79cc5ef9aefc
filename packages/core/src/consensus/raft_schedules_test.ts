import { create } from "@bufbuild/protobuf";
import {
  type HardState,
  HardStateSchema,
  type LogEntry,
  type Member as MemberInit,
  MemberSchema,
  type Membership,
  MembershipSchema,
  type PeerMessage,
  type SnapshotData,
  SnapshotDataSchema,
} from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import process from "node:process";
import { planMembership } from "../membership/plan_membership.ts";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { RaftNode } from "./raft_node.ts";
import type { RaftOutput } from "./raft_output.ts";

const SCHEDULE_COUNT = Number(process.env["SCHEDULES"] ?? 2_000);
const FIRST_SEED = 1;
const FAULT_STEPS = 260;
const HEALING_STEPS = 700;
const STEP_MILLISECONDS = 10;
const ELECTION_MILLISECONDS = 100;
const HEARTBEAT_MILLISECONDS = 30;

type Disk = {
  hardState: HardState;
  snapshot: SnapshotData;
  entries: LogEntry[];
};

type Member = {
  id: string;
  disk: Disk;
  node: RaftNode | undefined;
  /** The batch that is being written and synced. */
  writing: { output: RaftOutput; doneAt: number } | undefined;
  applied: Map<number, string>;
  appliedIndex: number;
  frozenUntil: number;
};

/**
 * Factor by which times are scaled up for `planMembership`, whose timeouts are
 * seconds: schedules replace hosts within a few hundred milliseconds.
 */
const PLAN_TIME_SCALE = 20;

type InFlightMessage = { message: PeerMessage; at: number };

function newMember(id: string, membership: Membership): Member {
  return {
    id,
    disk: {
      hardState: create(HardStateSchema),
      snapshot: create(SnapshotDataSchema, { membership }),
      entries: [],
    },
    node: undefined,
    writing: undefined,
    applied: new Map(),
    appliedIndex: 0,
    frozenUntil: 0,
  };
}

function write(disk: Disk, output: RaftOutput): void {
  if (output.hardState !== undefined) disk.hardState = output.hardState;
  if (output.snapshot !== undefined) {
    disk.snapshot = output.snapshot;
    disk.entries = [];
  }
  const cut = output.truncateFrom ?? output.entries[0]?.index;
  if (cut !== undefined) {
    disk.entries = disk.entries.filter((entry) => entry.index < cut);
  }
  disk.entries.push(...output.entries);
}

/** One seeded run of faults: the members, their disks and their network. */
class Schedule {
  readonly members = new Map<string, Member>();
  /**
   * Reference model: a single copy of the log, written as members apply
   * committed entries, to which each member's log is compared.
   */
  readonly chosen = new Map<number, string>();
  readonly acknowledged = new Map<number, string>();
  #inFlight: InFlightMessage[] = [];
  #cutLinks = new Set<string>();
  #leaders = new Map<number, string>();
  #proposed = new Map<number, { id: string; term: number; text: string }[]>();
  #proposalCount = 0;
  #repairCount = 0;
  #repair: { lost: string; joining: string } | undefined;
  #now = 0;
  #random: () => number;
  #targetVoters: number;
  /** Whether `planMembership` changes the members, without an operator. */
  #isAutomatic: boolean;

  constructor(seed: number, isAutomatic: boolean) {
    this.#random = createSeededRandom(seed);
    this.#isAutomatic = isAutomatic;
    const size = this.#random() < 0.7 ? 3 : 5;
    this.#targetVoters = size;
    const members = Array.from({ length: size }, (_, index) => ({
      id: `member-${index}`,
      name: `member-${index}`,
      address: `member-${index}`,
    }));
    const membership = create(MembershipSchema, { members });
    for (const { id } of members) {
      this.members.set(id, newMember(id, membership));
    }
    for (const member of this.members.values()) this.#start(member);
  }

  run(): void {
    for (let step = 0; step < FAULT_STEPS; step += 1) {
      this.#injectFault();
      this.#step();
    }
    this.#heal();
    for (let step = 0; step < HEALING_STEPS; step += 1) {
      this.#step();
      if (step > 60 && this.#isCaughtUp()) return;
    }
    assert.ok(this.#isCaughtUp(), "the group did not catch up after healing");
  }

  #injectFault(): void {
    const chance = this.#random();
    const member = this.#randomMember();
    if (chance < 0.25) this.#propose();
    else if (chance < 0.29) {
      this.#crash(this.#random() < 0.4 ? this.#leader() ?? member : member);
    } else if (chance < 0.34 && member.node === undefined) this.#start(member);
    else if (chance < 0.37) this.#cutLink();
    else if (chance < 0.40) this.#cutLinks.clear();
    else if (chance < 0.41) member.frozenUntil = this.#now + 250;
    else if (chance < 0.43) this.#compact(member);
    else if (chance < 0.44) member.node?.transferLeadership(this.#now);
    else if (chance < 0.455) this.#loseDisk();
    else if (chance < 0.5 || this.#isAutomatic) this.#continueRepair();
  }

  #step(): void {
    this.#now += STEP_MILLISECONDS;
    const due = this.#inFlight.filter(({ at }) => at <= this.#now);
    this.#inFlight = this.#inFlight.filter(({ at }) => at > this.#now);
    for (const { message } of due) this.#deliver(message);
    for (const member of this.members.values()) this.#run(member);
  }

  #run(member: Member): void {
    const { node } = member;
    if (node === undefined || member.frozenUntil > this.#now) return;
    node.tick(this.#now);
    this.#finishWriting(member);
    if (member.writing === undefined) this.#processOutput(member);
    if (node.isLeading(this.#now)) this.#checkSingleLeader(node);
  }

  #processOutput(member: Member): void {
    const output = member.node!.takeOutput();
    for (const message of output.immediateMessages) this.#send(message);
    if (output.snapshot !== undefined) this.#install(member, output.snapshot);
    for (const entry of output.committed) this.#apply(member, entry);
    const slow = this.#random() < 0.3 ? 6 : 0;
    member.writing = {
      output,
      doneAt: this.#now + slow * STEP_MILLISECONDS,
    };
    this.#finishWriting(member);
  }

  #finishWriting(member: Member): void {
    const { writing, node } = member;
    if (writing === undefined || writing.doneAt > this.#now) return;
    member.writing = undefined;
    const { output } = writing;
    write(member.disk, output);
    const last = output.entries.at(-1);
    if (last !== undefined) node!.markSynced(last.index, last.term);
    for (const message of output.messagesAfterSync) this.#send(message);
  }

  #install(member: Member, snapshot: SnapshotData): void {
    const texts = JSON.parse(new TextDecoder().decode(snapshot.state));
    member.applied = new Map(texts as [number, string][]);
    member.appliedIndex = snapshot.lastIndex;
  }

  #apply(member: Member, entry: LogEntry): void {
    const text = `${entry.kind} ${new TextDecoder().decode(entry.data)}`;
    const known = this.chosen.get(entry.index);
    if (known === undefined) this.chosen.set(entry.index, text);
    else assert.equal(text, known, `two values chosen at ${entry.index}`);
    assert.equal(entry.index, member.appliedIndex + 1, "applied out of order");
    member.applied.set(entry.index, text);
    member.appliedIndex = entry.index;
    for (const proposal of this.#proposed.get(entry.index) ?? []) {
      const answered = proposal.id === member.id &&
        proposal.term === entry.term;
      if (answered) this.acknowledged.set(entry.index, text);
    }
  }

  #propose(): void {
    const leader = this.#leader();
    if (leader === undefined) return;
    const node = leader.node!;
    this.#proposalCount += 1;
    const text = `command ${this.#proposalCount}`;
    const index = node.propose(new TextEncoder().encode(text), this.#now);
    if (index.isErr) return;
    node.flush(this.#now);
    const list = this.#proposed.get(index.value) ?? [];
    list.push({ id: leader.id, term: node.term, text });
    this.#proposed.set(index.value, list);
  }

  #crash(member: Member): void {
    member.node = undefined;
    member.writing = undefined;
  }

  #start(member: Member): void {
    const { disk } = member;
    member.writing = undefined;
    member.node = new RaftNode({
      id: member.id,
      electionTimeoutMilliseconds: ELECTION_MILLISECONDS,
      heartbeatIntervalMilliseconds: HEARTBEAT_MILLISECONDS,
      random: this.#random,
      now: this.#now,
      hardState: disk.hardState,
      snapshot: disk.snapshot,
      entries: [...disk.entries],
    });
    const { state, lastIndex } = disk.snapshot;
    const texts = state.length === 0
      ? []
      : JSON.parse(new TextDecoder().decode(state));
    member.applied = new Map(texts as [number, string][]);
    member.appliedIndex = lastIndex;
  }

  #compact(member: Member): void {
    const { node } = member;
    if (node === undefined || member.writing !== undefined) return;
    if (member.appliedIndex < node.firstIndex) return;
    const state = new TextEncoder().encode(
      JSON.stringify([...member.applied]),
    );
    member.disk.snapshot = node.compact(member.appliedIndex, state);
    member.disk.entries = member.disk.entries.filter((entry) =>
      entry.index > member.appliedIndex
    );
  }

  /** A voter loses its disk and thus its id; a new member starts instead. */
  #loseDisk(): void {
    const leader = this.#leader();
    if (leader === undefined || this.#repair !== undefined) return;
    const voters = leader.node!.membership.members;
    const lost = voters.find(({ id }) => id !== leader.id);
    const whole = voters.every(({ id, learner }) =>
      !learner && this.members.has(id)
    );
    if (lost === undefined || !whole || this.#repairCount >= 2) return;
    this.#repairCount += 1;
    this.members.delete(lost.id);
    const joining = newMember(`${lost.id}+`, create(MembershipSchema));
    this.members.set(joining.id, joining);
    this.#start(joining);
    this.#repair = { lost: lost.id, joining: joining.id };
  }

  /**
   * Performs the next step of the operator's command to replace a member:
   * remove the lost one, add the new one as a learner, then promote it.
   */
  #continueRepair(): void {
    if (this.#isAutomatic) return this.#applyMembershipPlan();
    const node = this.#leader()?.node;
    const repair = this.#repair;
    if (node === undefined || repair === undefined) return;
    const { members } = node.membership;
    const joining = members.find(({ id }) => id === repair.joining);
    if (members.some(({ id }) => id === repair.lost)) {
      const left = members.filter(({ id }) => id !== repair.lost);
      this.#changeMembers(node, left);
    } else if (joining === undefined) {
      const { joining: id } = repair;
      this.#changeMembers(node, [
        ...members,
        create(MemberSchema, { id, learner: true }),
      ]);
    } else if (joining.learner) {
      if (node.matchIndexOf(repair.joining) < node.commitIndex) return;
      this.#changeMembers(
        node,
        members.map((member) => ({ ...member, learner: false })),
      );
    } else if (node.isMembershipCommitted) this.#repair = undefined;
  }

  /**
   * Proposes the change that `planMembership` returns, as the leader's host
   * does every tenth of a second.
   */
  #applyMembershipPlan(): void {
    const node = this.#leader()?.node;
    if (node === undefined || !node.isMembershipCommitted) return;
    const now = this.#now * PLAN_TIME_SCALE;
    const candidates = [...this.members.values()].filter((member) =>
      member.node !== undefined && member.node.leaderId === "" &&
      !this.#cutLinks.has(`${member.id}>${node.id}`)
    );
    const members = planMembership({
      selfId: node.id,
      members: node.membership.members,
      candidates: candidates.map(({ id }) => ({
        member: create(MemberSchema, {
          id,
          name: id,
          address: hostAddressOf(id),
        }),
        askedAt: now,
      })),
      targetVoters: this.#targetVoters,
      heardAt: (id) => node.heardAt(id) * PLAN_TIME_SCALE,
      leadingSince: node.leadingSince * PLAN_TIME_SCALE,
      isCaughtUp: (id) => node.matchIndexOf(id) >= node.commitIndex,
      now,
    });
    if (members !== undefined) this.#changeMembers(node, members);
    const { membership } = node;
    const isWhole = membership.members.length === this.#targetVoters &&
      membership.members.every(({ id, learner }) =>
        !learner && this.members.has(id)
      );
    if (isWhole && node.isMembershipCommitted) this.#repair = undefined;
  }

  #changeMembers(node: RaftNode, members: MemberInit[]): void {
    const next = create(MembershipSchema, { members });
    if (node.proposeMembership(next, this.#now).isOk) node.flush(this.#now);
  }

  #leader(): Member | undefined {
    return [...this.members.values()].find((member) =>
      member.frozenUntil <= this.#now && member.node?.isLeading(this.#now)
    );
  }

  #cutLink(): void {
    const [from, to] = [this.#randomMember().id, this.#randomMember().id];
    this.#cutLinks.add(`${from}>${to}`);
    if (this.#random() < 0.6) this.#cutLinks.add(`${to}>${from}`);
  }

  #send(message: PeerMessage): void {
    if (this.#cutLinks.has(`${message.from}>${message.to}`)) return;
    if (this.#random() < 0.05) return;
    const copies = this.#random() < 0.05 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const delay = 1 + Math.floor(this.#random() * 30);
      this.#inFlight.push({ message, at: this.#now + delay });
    }
  }

  #deliver(message: PeerMessage): void {
    const member = this.members.get(message.to);
    if (member?.node === undefined) return;
    if (member.frozenUntil > this.#now) {
      this.#inFlight.push({ message, at: member.frozenUntil + 1 });
      return;
    }
    member.node.receive(message, this.#now);
  }

  #checkSingleLeader(node: RaftNode): void {
    const known = this.#leaders.get(node.term) ?? node.id;
    assert.equal(node.id, known, `two leaders in term ${node.term}`);
    this.#leaders.set(node.term, node.id);
  }

  #heal(): void {
    this.#cutLinks.clear();
    for (const member of this.members.values()) {
      member.frozenUntil = 0;
      if (member.node === undefined) this.#start(member);
    }
  }

  #isCaughtUp(): boolean {
    this.#continueRepair();
    const last = Math.max(0, ...this.chosen.keys());
    const leads = [...this.members.values()].some((member) =>
      member.node?.isLeading(this.#now) && member.node.hasCommittedOwnTerm
    );
    return leads && this.#repair === undefined &&
      [...this.members.values()].every((member) =>
        member.appliedIndex === last
      );
  }

  #randomMember(): Member {
    const all = [...this.members.values()];
    return all[Math.floor(this.#random() * all.length)]!;
  }
}

/** A host that lost its disk rejoins with a new id from the same address. */
function hostAddressOf(id: string): string {
  return id.replaceAll("+", "");
}

function runSchedules(isAutomatic: boolean): void {
  console.log(`seeds ${FIRST_SEED} to ${FIRST_SEED + SCHEDULE_COUNT - 1}`);
  let acknowledged = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULE_COUNT; seed += 1) {
    const schedule = new Schedule(seed, isAutomatic);
    try {
      schedule.run();
      for (const [index, text] of schedule.acknowledged) {
        assert.equal(schedule.chosen.get(index), text);
        acknowledged += 1;
      }
      for (const member of schedule.members.values()) {
        for (const [index, text] of member.applied) {
          assert.equal(text, schedule.chosen.get(index));
        }
      }
    } catch (error) {
      throw new Error(`seed ${seed}: ${String(error)}`, { cause: error });
    }
  }
  assert.ok(
    acknowledged > SCHEDULE_COUNT,
    "too little was accepted to prove much",
  );
}

test("no accepted command is lost or changed under any fault", () => {
  // Members crash with unsynced writes, freeze, lose their disks and are
  // replaced. Links are cut in one or both directions, and they drop, duplicate
  // and reorder messages. After all faults are healed, every member holds the
  // reference model's entries, which include every acknowledged command.
  runSchedules(false);
});

test("no accepted command is lost or changed by automatic membership changes", () => {
  // The same faults. In addition, the leader's membership plan replaces hosts
  // that return without their disk or are silent for long, at any moment of an
  // election or of another membership change.
  runSchedules(true);
});
