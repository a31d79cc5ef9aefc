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
    electionMilliseconds: ELECTION_MILLISECONDS,
    heartbeatMilliseconds: 20,
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

function grant(from: string, term: number, preVote: boolean): PeerMessage {
  const value = create(VoteResponseSchema, { preVote, granted: true });
  return message(from, term, { case: "voteResponse", value });
}

/** Makes `node` lead in the term after `term`; gives back the time. */
function elect(node: RaftNode, term: number): number {
  const now = 2 * ELECTION_MILLISECONDS;
  node.tick(now);
  node.receive(grant("b", term + 1, true), now);
  node.receive(grant("b", term + 1, false), now);
  assert.ok(node.isLeading(now));
  return now;
}

function confirm(
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
  // Story: one other voter has confirmed; the leader's own write is still
  // under way. Counted as two of three, a kill of the leader would leave an
  // accepted change on one disk only.
  const node = newNode([], 1);
  const now = elect(node, 1);
  const index = node.propose(new Uint8Array([1]), now);
  assert.ok(index.isOk);
  confirm(node, { from: "b", matchIndex: index.value, round: 1, now });
  assert.equal(node.commitIndex, 0);
  node.markSynced(index.value, node.term);
  assert.equal(node.commitIndex, index.value);
});

test("an older term's entry is not committed by count alone", () => {
  // Story: a leader of term 3 finds an entry of term 1 on a majority. A
  // member with a later entry could still replace it, so it counts only once
  // an entry of term 3 stands on a majority too.
  const node = newNode([entry(1, 1)], 2);
  const now = elect(node, 2);
  confirm(node, { from: "b", matchIndex: 1, round: 1, now });
  assert.equal(node.commitIndex, 0);
  node.markSynced(2, node.term);
  confirm(node, { from: "b", matchIndex: 2, round: 1, now });
  assert.equal(node.commitIndex, 2);
});

test("a log that went back behind its confirmation is not counted again", () => {
  // Story: a member comes back on an older copy of its folder. What it had
  // confirmed is gone there; trusted again it could help elect a leader that
  // lacks an accepted change.
  const node = newNode([], 1);
  const now = elect(node, 1);
  const index = node.propose(new Uint8Array([1]), now);
  assert.ok(index.isOk);
  confirm(node, { from: "b", matchIndex: index.value, round: 1, now });
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

test("a leader that slept past the election time leads no more", () => {
  const node = newNode([], 1);
  const now = elect(node, 1);
  const later = now + 10 * ELECTION_MILLISECONDS;
  assert.ok(!node.isLeading(later));
  assert.ok(node.propose(new Uint8Array([1]), later).isErr);
  assert.ok(node.startReadRound(later).isErr);
});

test("a member that was cut off does not push out a healthy leader", () => {
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
  assert.deepEqual(node.takeOutput().afterSync, []);
});

test("a host that joins late is sent the log once, in pieces it can take", () => {
  // Story: a control host with an empty disk joins behind sixty large
  // configurations, over a link that takes 50 ms. Every heartbeat that it
  // refuses meanwhile must not bring the whole log again: that filled its
  // link, so that it never caught up, and the next lost disk lost a change.
  const size = 10_000;
  const count = 60;
  const entries = Array.from({ length: count }, (_, at) => ({
    ...entry(at + 1, 1),
    data: new Uint8Array(size),
  }));
  const leader = newNode(entries, 1);
  const start = elect(leader, 1);
  const members = ["a", "b", "c"].map((id) => ({ id, name: id }));
  const joining = new RaftNode({
    id: "c",
    electionMilliseconds: 10_000,
    heartbeatMilliseconds: 20,
    random: () => 0,
    hardState: create(HardStateSchema),
    snapshot: create(SnapshotDataSchema, {
      membership: create(MembershipSchema, { members }),
    }),
    entries: [],
    now: start,
  });
  const flying: { message: PeerMessage; at: number }[] = [];
  let sentBytes = 0;
  let largest = 0;
  for (let now = start; now < start + 2_000; now += 5) {
    leader.tick(now);
    confirm(leader, {
      from: "b",
      matchIndex: leader.lastIndex,
      round: 1e6,
      now,
    });
    for (const node of [leader, joining]) {
      const output = node.takeOutput();
      for (const sent of [...output.immediate, ...output.afterSync]) {
        if (sent.to === "b") continue;
        if (sent.body.case === "appendRequest") {
          const bytes = sent.body.value.entries.length * size;
          sentBytes += bytes;
          largest = Math.max(largest, bytes);
        }
        flying.push({ message: sent, at: now + 50 });
      }
    }
    while (flying.length > 0 && flying[0]!.at <= now) {
      const { message: arrived } = flying.shift()!;
      (arrived.to === "c" ? joining : leader).receive(arrived, now);
    }
  }
  assert.equal(joining.lastIndex, leader.lastIndex);
  assert.ok(sentBytes <= 2 * count * size, `${sentBytes} bytes`);
  assert.ok(largest <= 150_000, `${largest} bytes at once`);
});

test("a refusal behind its confirmation is no sign of an older log", () => {
  // Story: a member holds ten confirmed entries and an uncommitted tail of an
  // earlier leader. It refuses what follows with the index that is surely
  // equal, its commit index. Taken for a log that went back, the member would
  // be left alone for good.
  const node = newNode([], 1);
  const now = elect(node, 1);
  const index = node.propose(new Uint8Array([1]), now);
  assert.ok(index.isOk);
  confirm(node, { from: "b", matchIndex: index.value, round: 1, now });
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

// All members lose power. The first one back asks for votes while the others
// do not listen yet, and its question is lost. Callers are refused for as long
// as it waits to ask again, though a majority has been up for most of it.
test("a vote that was asked for too early is soon asked for again", () => {
  const node = newNode([entry(1, 1)], 1);
  node.takeOutput();
  const asks = () => {
    const { immediate, afterSync } = node.takeOutput();
    return [...immediate, ...afterSync].filter(({ body }) =>
      body.case === "voteRequest"
    ).length;
  };
  const first = 0.4 * ELECTION_MILLISECONDS;
  node.tick(first);
  assert.equal(asks(), 2, "both others are asked");
  node.tick(first + 0.2 * ELECTION_MILLISECONDS);
  assert.equal(asks(), 0, "they are given time to answer");
  node.tick(first + 0.4 * ELECTION_MILLISECONDS);
  assert.equal(asks(), 2);
  assert.equal(node.term, 1, "asking changes no term");
});

// Two members come back from a loss of power within a few milliseconds and ask
// each other whether they would win. Both would; both stand, each votes for
// itself, and callers are refused for one more election time.
test("who has promised its vote does not stand beside the other", () => {
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
  const { immediate, afterSync } = node.takeOutput();
  const asked = [...immediate, ...afterSync].filter(({ body }) =>
    body.case === "voteRequest"
  );
  assert.deepEqual(asked, []);
  node.tick(due + 0.3 * ELECTION_MILLISECONDS);
  assert.ok(node.takeOutput().afterSync.length > 0, "b did not stand: it asks");
});

// Two members ask at the same moment: what each sends takes a tenth of a
// second on hosts that have just started, so that neither hears the other
// ahead of its own asking. Both would win, both stand, and nobody does.
test("of two that ask at the same time the greater id goes first", () => {
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
    const answer = node.takeOutput().afterSync.find(({ body }) =>
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

// An operator's change is acknowledged by members a and b. Both restart; c,
// which leads then and lacks nothing up to its snapshot, takes a for far behind
// and sends that snapshot. Starting over from it, a drops the change, votes for
// a member that never had it, and the change is gone everywhere.
test("an older snapshot takes no confirmed entries away", () => {
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
  const answer = output.afterSync[0]?.body;
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
