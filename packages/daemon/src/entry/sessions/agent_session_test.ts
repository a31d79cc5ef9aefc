import { create } from "@bufbuild/protobuf";
import { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { AgentToEntrySchema } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { Subject } from "rxjs";
import { EventLog } from "../../log/event_log.ts";
import type { SpreadCoordinator } from "../../rollout/spread_coordinator.ts";
import { AgentSession } from "./agent_session.ts";
import type { ControlSession } from "./control_session.ts";
import type { PermitQueue } from "./permit_queue.ts";

const ANNOUNCEMENT = create(AgentToEntrySchema, {
  body: {
    case: "announcement",
    value: {
      backendServer: "drafter-1",
      service: "drafter",
      incarnation: "now",
    },
  },
});
const PERMIT = {
  backendServer: "drafter-1",
  service: "drafter",
  incarnation: "now",
  version: "drafter@2",
  wasServing: true,
  fencingToken: 7,
  at: Date.now(),
};

function openSession(state = createEmptyControlState()) {
  const changed$ = new Subject<ControlState>();
  const table = new BackendServerTable();
  const session = new AgentSession({
    host: "van-1",
    dataCentre: "van",
    control: {
      state,
      changed$,
      hasLease: () => true,
    } as unknown as ControlSession,
    table,
    coordinator: {
      addHost: () => undefined,
      removeHost: () => undefined,
    } as unknown as SpreadCoordinator,
    permits: {} as PermitQueue,
    onLateEnd: () => undefined,
    log: new EventLog("entry", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
    newestSessions: new Map(),
  });
  const tokens: number[] = [];
  session.outgoing$.subscribe(({ body }) => {
    if (body.case === "permit") tokens.push(body.value.fencingToken);
  });
  return { session, state, changed$, table, tokens };
}

// Guards against a permit that was granted over a stream which has ended, and
// that its agent never hears of.
test("a new stream tells its agent the permit that the log has", () => {
  const { session, state, changed$, tokens } = openSession();
  state.permits.set(PERMIT.backendServer, PERMIT);
  session.handleMessage(ANNOUNCEMENT);
  assert.deepEqual(tokens, [7]);
  changed$.next(state);
  assert.deepEqual(tokens, [7], "once on each stream");
  state.permits.set(PERMIT.backendServer, { ...PERMIT, fencingToken: 9 });
  changed$.next(state);
  assert.deepEqual(tokens, [7, 9]);
  session.close();
});

// Guards against a backend server that seems to be there for good: the message
// of a stream that was closed, as it was silent, is read later.
test("a closed session takes no more messages", () => {
  const { session, table } = openSession();
  session.close();
  session.handleMessage(ANNOUNCEMENT);
  assert.equal(table.get("drafter-1"), undefined);
});

// Guards against backend servers that are forgotten, and callers refused, as
// their agents or this host stood still for two seconds.
test("a session outlasts a heartbeat interval and a silence of two seconds", () => {
  mock.timers.enable({ apis: ["Date", "setInterval"], now: 1_000_000 });
  try {
    const { session, table } = openSession();
    session.handleMessage(ANNOUNCEMENT);
    mock.timers.tick(3_200);
    assert.ok(table.get("drafter-1") !== undefined);
    session.handleMessage(ANNOUNCEMENT);
    mock.timers.tick(6_000);
    assert.equal(table.get("drafter-1"), undefined);
  } finally {
    mock.timers.reset();
  }
});
