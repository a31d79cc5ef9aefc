import { create } from "@bufbuild/protobuf";
import { RaftNode } from "@teaselrouter/core/consensus/raft_node.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import {
  HardStateSchema,
  MembershipSchema,
  SnapshotDataSchema,
} from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { ControlHost } from "./control_host.ts";
import type { RaftDriver } from "./raft_driver.ts";

/** A host that leads alone. */
function createLeadingHost() {
  const now = monotonicMilliseconds();
  const node = new RaftNode({
    id: "a",
    electionTimeoutMilliseconds: 400,
    heartbeatIntervalMilliseconds: 100,
    random: () => 0,
    hardState: create(HardStateSchema),
    snapshot: create(SnapshotDataSchema, {
      membership: create(MembershipSchema, {
        members: [{ id: "a", name: "a" }],
      }),
    }),
    entries: [],
    now: now - 1_000,
  });
  node.tick(now);
  node.markSynced(node.lastIndex, node.term);
  const driver = {
    leadership$: new Subject(),
    committed$: new Subject(),
    stored$: new Subject(),
    snapshotInstalled$: new Subject(),
    scheduleFlush: () => {},
  };
  const log = { info: () => {} };
  const host = new ControlHost({
    node,
    driver: driver as unknown as RaftDriver,
    log: log as unknown as EventLog,
  }, createEmptyControlState());
  const commitAll = () => {
    node.markSynced(node.lastIndex, node.term);
    for (const entry of node.takeOutput().committed) {
      driver.committed$.next(entry);
    }
  };
  return { host, node, commitAll };
}

// Guards against a large configuration that fills the log, and the links to all
// members, once for each time that it is sent again before it is committed.
test("a configuration that is sent again while it is committed is stored once", async () => {
  const { host, node, commitAll } = createLeadingHost();
  const before = node.lastIndex;
  const send = (document: string) =>
    host.propose({ kind: "replace-routing", version: 1, document }, {
      untilInForce: false,
    });
  const sent = [send("one"), send("one"), send("one"), send("other")];
  assert.equal(node.lastIndex, before + 2);
  commitAll();
  const outcomes = await Promise.all(sent);
  assert.deepEqual(
    outcomes.map(({ kind }) => kind),
    Array(4).fill("committed"),
  );
  assert.equal(host.state.routing?.document, "one");
  const again = send("one");
  assert.equal(node.lastIndex, before + 3);
  commitAll();
  assert.equal((await again).kind, "committed");
});
