import { create } from "@bufbuild/protobuf";
import {
  AppendRequestSchema,
  EntryKind,
  HardStateSchema,
  LogEntrySchema,
  MembershipSchema,
  type PeerMessage,
  PeerMessageSchema,
  SnapshotDataSchema,
  SnapshotRequestSchema,
  VoteRequestSchema,
  VoteResponseSchema,
} from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RaftNode } from "./raft_node.ts";

const ELECTION_MILLISECONDS = 100;

function entry(index: number, term: number) {
  return create(LogEntrySchema, {
    index,
    term,
    kind: EntryKind.COMMAND,
    data: new TextEncoder().encode(`${index} of ${term}`),
  });
}

function newNode(entries: ReturnType<typeof entry>[], term: number): RaftNode {
  const members = ["a", "b", "c"].map((id) => ({ id, name: id }));
  return new RaftNode({
    id: "a",
    electionTimeoutMilliseconds: ELECTION_MILLISECONDS,
    heartbeatIntervalMilliseconds: 20,
    random: () => 0,
    hardState: create(HardStateSchema, { term }),
    snapshot: create(SnapshotDataSchema, {
      membership: create(MembershipSchema, { members }),
    }),
    entries,
    now: 0,
  });
}

function message(
  from: string,
  term: number,
  body: PeerMessage["body"],
): PeerMessage {
  return create(PeerMessageSchema, { from, to: "a", term, body });
}

function voteGranted(
  from: string,
  term: number,
  preVote: boolean,
): PeerMessage {
  const value = create(VoteResponseSchema, { preVote, granted: true });
  return message(from, term, { case: "voteResponse", value });
}

/** Makes `node` lead in the term after `term`; returns the time. */
function electLeader(node: RaftNode, term: number): number {
  const now = 2 * ELECTION_MILLISECONDS;
  node.tick(now);
  node.receive(voteGranted("b", term + 1, true), now);
  node.receive(voteGranted("b", term + 1, false), now);
  assert.ok(node.isLeading(now));
  return now;
}

function confirmAppend(
  node: RaftNode,
  options: { from: string; matchIndex: number; round: number; now: number },
): void {
  const { from, matchIndex, round, now } = options;
  node.receive(
    message(from, node.term, {
      case: "appendResponse",
      value: {
        $typeName: "teaselrouter.v1.AppendResponse",
        accepted: true,
        matchIndex,
        round,
        lastIndex: matchIndex,
      },
    }),
    now,
  );
}

test("a leader does not count itself before its own sync", () => {
  // One other voter has confirmed the entry, and the leader's own write is not
  // synced yet. If the leader counted itself, it would commit with two of three
  // votes, and killing it would leave an accepted change on one disk only.
  const node = newNode([], 1);
  const now = electLeader(node, 1);
  const index = node.propose(new Uint8Array([1]), now);
  assert.ok(index.isOk);
  confirmAppend(node, { from: "b", matchIndex: index.value, round: 1, now });
  assert.equal(node.commitIndex, 0);
  node.markSynced(index.value, node.term);
  assert.equal(node.commitIndex, index.value);
});

test("an older term's entry is not committed by count alone", () => {
  // A leader of term 3 finds that a majority holds an entry of term 1. A member
  // with an entry of a later term could still replace it, so it is committed
  // only once a majority holds an entry of term 3 too.
  const node = newNode([entry(1, 1)], 2);
  const now = electLeader(node, 2);
  confirmAppend(node, { from: "b", matchIndex: 1, round: 1, now });
  assert.equal(node.commitIndex, 0);
  node.markSynced(2, node.term);
  confirmAppend(node, { from: "b", matchIndex: 2, round: 1, now });
  assert.equal(node.commitIndex, 2);
});

test("a member whose log became shorter than it confirmed is not counted", () => {
  // A member restarts on an older copy of its data folder, which lacks entries
  // that the member had confirmed. If it were trusted again, it could help
  // elect a leader that lacks an accepted change.
  const node = newNode([], 1);
  const now = electLeader(node, 1);
  const index = node.propose(new Uint8Array([1]), now);
  assert.ok(index.isOk);
  confirmAppend(node, { from: "b", matchIndex: index.value, round: 1, now });
  node.flush(now + 1);
  node.receive(
    message("b", node.term, {
      case: "appendResponse",
      value: {
        $typeName: "teaselrouter.v1.AppendResponse",
        accepted: false,
        matchIndex: 0,
        round: 99,
        lastIndex: 0,
      },
    }),
    now + 2,
  );
  assert.deepEqual(node.regressedMembers, ["b"]);
  node.markSynced(index.value, node.term);
  assert.equal(node.commitIndex, 0);
});

test("a leader that was suspended past the election timeout no longer leads", () => {
  const node = newNode([], 1);
  const now = electLeader(node, 1);
  const later = now + 10 * ELECTION_MILLISECONDS;
  assert.ok(!node.isLeading(later));
  assert.ok(node.propose(new Uint8Array([1]), later).isErr);
  assert.ok(node.startReadRound(later).isErr);
});

test("a member that was cut off does not depose a healthy leader", () => {
  const node = newNode([], 5);
  const heartbeat = create(AppendRequestSchema, { round: 1 });
  node.receive(
    message("b", 5, { case: "appendRequest", value: heartbeat }),
    50,
  );
  node.takeOutput();
  node.receive(
    message("c", 9, {
      case: "voteRequest",
      value: {
        $typeName: "teaselrouter.v1.VoteRequest",
        preVote: false,
        lastIndex: 100,
        lastTerm: 9,
        transfer: false,
      },
    }),
    60,
  );
  assert.equal(node.term, 5);
  assert.deepEqual(node.takeOutput().messagesAfterSync, []);
});

test("a member that joins late is sent the log once, in requests of limited size", () => {
  // A control host with an empty disk joins after sixty large configurations
  // were accepted, over a link with 50 ms latency. It rejects the heartbeats
  // that arrive meanwhile. If each rejection caused the whole log to be sent
  // again, the link would be saturated, the host would never catch up, and the
  // next lost disk would lose a change.
  const size = 10_000;
  const count = 60;
  const entries = Array.from({ length: count }, (_, at) => ({
    ...entry(at + 1, 1),
    data: new Uint8Array(size),
  }));
  const leader = newNode(entries, 1);
  const start = electLeader(leader, 1);
  const members = ["a", "b", "c"].map((id) => ({ id, name: id }));
  const joining = new RaftNode({
    id: "c",
    electionTimeoutMilliseconds: 10_000,
    heartbeatIntervalMilliseconds: 20,
    random: () => 0,
    hardState: create(HardStateSchema),
    snapshot: create(SnapshotDataSchema, {
      membership: create(MembershipSchema, { members }),
    }),
    entries: [],
    now: start,
  });
  const inFlight: { message: PeerMessage; at: number }[] = [];
  let sentBytes = 0;
  let largest = 0;
  for (let now = start; now < start + 2_000; now += 5) {
    leader.tick(now);
    confirmAppend(leader, {
      from: "b",
      matchIndex: leader.lastIndex,
      round: 1e6,
      now,
    });
    for (const node of [leader, joining]) {
      const output = node.takeOutput();
      for (
        const sent of [...output.immediateMessages, ...output.messagesAfterSync]
      ) {
        if (sent.to === "b") continue;
        if (sent.body.case === "appendRequest") {
          const bytes = sent.body.value.entries.length * size;
          sentBytes += bytes;
          largest = Math.max(largest, bytes);
        }
        inFlight.push({ message: sent, at: now + 50 });
      }
    }
    while (inFlight.length > 0 && inFlight[0]!.at <= now) {
      const { message: arrived } = inFlight.shift()!;
      (arrived.to === "c" ? joining : leader).receive(arrived, now);
    }
  }
  assert.equal(joining.lastIndex, leader.lastIndex);
  assert.ok(sentBytes <= 2 * count * size, `${sentBytes} bytes`);
  assert.ok(largest <= 150_000, `${largest} bytes at once`);
});

test("a rejection below the confirmed index does not mark a log as regressed", () => {
  // A member holds ten confirmed entries, followed by an earlier leader's
  // uncommitted entries. It rejects the next request and returns its commit
  // index, the last index that surely matches. If the leader took this for a
  // log that became shorter, it would never send to the member again.
  const node = newNode([], 1);
  const now = electLeader(node, 1);
  const index = node.propose(new Uint8Array([1]), now);
  assert.ok(index.isOk);
  confirmAppend(node, { from: "b", matchIndex: index.value, round: 1, now });
  node.flush(now + 1);
  node.receive(
    message("b", node.term, {
      case: "appendResponse",
      value: {
        $typeName: "teaselrouter.v1.AppendResponse",
        accepted: false,
        matchIndex: 0,
        round: 99,
        lastIndex: index.value + 3,
      },
    }),
    now + 2,
  );
  assert.deepEqual(node.regressedMembers, []);
});

// All members lose power. The first one to restart sends its pre-vote before
// the others listen, so the requests are lost. Callers are refused until it
// sends the next ones, although a majority has been up for most of that time.
test("a pre-vote whose requests may be lost is soon repeated", () => {
  const node = newNode([entry(1, 1)], 1);
  node.takeOutput();
  const takeVoteRequestCount = () => {
    const { immediateMessages, messagesAfterSync } = node.takeOutput();
    return [...immediateMessages, ...messagesAfterSync].filter(({ body }) =>
      body.case === "voteRequest"
    ).length;
  };
  const first = 0.4 * ELECTION_MILLISECONDS;
  node.tick(first);
  assert.equal(takeVoteRequestCount(), 2, "both others are asked");
  node.tick(first + 0.2 * ELECTION_MILLISECONDS);
  assert.equal(takeVoteRequestCount(), 0, "they are given time to answer");
  node.tick(first + 0.4 * ELECTION_MILLISECONDS);
  assert.equal(takeVoteRequestCount(), 2);
  assert.equal(node.term, 1, "asking changes no term");
});

// Two members restart after a power loss within a few milliseconds and send
// each other pre-votes. If both grant them and both start an election, each
// votes for itself, and callers are refused for one more election timeout.
test("a member that granted a pre-vote postpones its own", () => {
  const node = newNode([entry(1, 1)], 1);
  const value = create(VoteRequestSchema, {
    preVote: true,
    lastIndex: 1,
    lastTerm: 1,
  });
  const due = 0.4 * ELECTION_MILLISECONDS;
  node.receive(message("b", 2, { case: "voteRequest", value }), due - 1);
  node.takeOutput();
  node.tick(due);
  const { immediateMessages, messagesAfterSync } = node.takeOutput();
  const asked = [...immediateMessages, ...messagesAfterSync].filter((
    { body },
  ) => body.case === "voteRequest");
  assert.deepEqual(asked, []);
  node.tick(due + 0.3 * ELECTION_MILLISECONDS);
  assert.ok(
    node.takeOutput().messagesAfterSync.length > 0,
    "b did not stand: it asks",
  );
});

// Two members start a pre-vote at the same moment. On hosts that have just
// started, a message takes a tenth of a second, so each member asks before it
// receives the other's request. If both pre-votes were granted, both members
// would start an election, and neither would win it.
test("of two overlapping pre-votes, the greater id's goes first", () => {
  const node = newNode([entry(1, 1)], 1);
  const value = create(VoteRequestSchema, {
    preVote: true,
    lastIndex: 1,
    lastTerm: 1,
  });
  const granted = (from: string) => {
    node.takeOutput();
    const request = message(from, 2, { case: "voteRequest", value });
    node.receive(request, ELECTION_MILLISECONDS);
    const answer = node.takeOutput().messagesAfterSync.find(({ body }) =>
      body.case === "voteResponse"
    );
    assert.ok(answer?.body.case === "voteResponse");
    return answer.body.value.granted;
  };
  assert.equal(granted("0"), true, "it does not ask itself");
  node.tick(2 * ELECTION_MILLISECONDS);
  assert.equal(granted("0"), false, "its own asking goes first");
  assert.equal(granted("b"), true);
});

// Members a and b acknowledge an operator's change and restart. Member c, which
// then leads and lacks nothing up to its snapshot, takes a to be far behind and
// sends a that snapshot. If a reset its log to the snapshot, a would drop the
// change and vote for a member that never had it, and every member would lose
// the change.
test("an older snapshot removes no confirmed entries", () => {
  const node = newNode([1, 2, 3, 4].map((index) => entry(index, 1)), 2);
  const snapshot = create(SnapshotDataSchema, {
    lastIndex: 2,
    lastTerm: 1,
    membership: node.membership,
  });
  const value = create(SnapshotRequestSchema, { snapshot });
  node.receive(message("c", 2, { case: "snapshotRequest", value }), 0);
  const output = node.takeOutput();
  assert.equal(output.snapshot, undefined);
  assert.equal(node.lastIndex, 4);
  assert.deepEqual(output.committed.map(({ index }) => Number(index)), [1, 2]);
  const answer = output.messagesAfterSync[0]?.body;
  assert.ok(answer?.case === "appendResponse" && answer.value.accepted);
  assert.equal(answer.value.matchIndex, 2);

  const other = newNode([1, 2, 3].map((index) => entry(index, 1)), 2);
  const newer = { ...snapshot, lastIndex: 3, lastTerm: 2 };
  const newerValue = create(SnapshotRequestSchema, { snapshot: newer });
  other.receive(
    message("c", 2, { case: "snapshotRequest", value: newerValue }),
    0,
  );
  assert.equal(other.takeOutput().snapshot?.lastIndex, 3, "another log's");
});
