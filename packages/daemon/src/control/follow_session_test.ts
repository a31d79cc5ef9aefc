import { create } from "@bufbuild/protobuf";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import {
  type ControlUpdate,
  FollowerToControlSchema,
} from "@teaselrouter/messages/follow.ts";
import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import { FollowSession } from "./follow_session.ts";
import { SharedView } from "./shared_view.ts";

function openSession(
  { controlAddresses = [] as string[], isCurrent = (): boolean => true } = {},
) {
  const state = createEmptyControlState();
  const view = new SharedView({
    log: new EventLog("c", "error"),
    dataCentre: "here",
    replicatedState: () => state,
    controlAddresses: () => controlAddresses,
    isCurrent,
    isLeading: () => false,
    hasLeader: () => true,
  });
  const sent: ControlUpdate["body"][] = [];
  const session = new FollowSession(view);
  session.outgoing$.subscribe(({ body }) => sent.push(body));
  const order = (isEvacuated: boolean, expected: number, index: number) => {
    const kind = "order-evacuation" as const;
    const command = { kind, dataCentre: "van-a", isEvacuated, expected, at: 0 };
    applyCommand(state, command, index);
    view.stateChanged$.next();
  };
  const endedSessions = mock.method(view.crashes, "endSession");
  const start = ({ isControl = false } = {}) => {
    const value = { host: "g", dataCentre: "here", isControl };
    session.handleMessage(
      create(FollowerToControlSchema, { body: { case: "hello", value } }),
    );
  };
  const stop = () => {
    session.close();
    view.stop();
  };
  return { state, view, session, sent, endedSessions, order, start, stop };
}

function evacuationsIn(sent: ControlUpdate["body"][]) {
  return sent.filter((body) => body.case === "evacuations")
    .map(({ value: { index, dataCentres } }) => ({ index, dataCentres }));
}

// Guards against a gateway that is ready, and sends, before it knows what is
// evacuated: it routes once it has the routing.
test("a follower is told of evacuations before the routing", () => {
  const { state, sent, order, start, stop } = openSession();
  applyCommand(
    state,
    { kind: "replace-routing", version: 1, document: "{}" },
    1,
  );
  order(true, 0, 2);
  start();
  stop();
  const cases = sent.map((body) => body.case);
  assert.ok(cases.includes("evacuations"));
  assert.ok(cases.indexOf("evacuations") < cases.indexOf("routing"));
  assert.deepEqual(evacuationsIn(sent), [{ index: 2, dataCentres: ["van-a"] }]);
});

test("each change of evacuations is sent whole, and a repetition not at all", () => {
  const { sent, order, start, stop } = openSession();
  start();
  order(true, 0, 5);
  order(true, 1, 6);
  order(false, 2, 7);
  stop();
  assert.deepEqual(evacuationsIn(sent), [
    { index: 0, dataCentres: [] },
    { index: 5, dataCentres: ["van-a"] },
    { index: 7, dataCentres: [] },
  ]);
});

function departuresIn(sent: ControlUpdate["body"][]): string[] {
  return sent.flatMap((body) =>
    body.case === "departures"
      ? body.value.departures.map(({ instance }) => instance)
      : []
  );
}

function createDeparture(instance: string): Departure {
  return { instance, bornAt: 1, sequence: 2, state: "leaving", at: 3 };
}

// Guards against a gateway that joins and takes a server for ready that has left:
// the host that it follows has an old word of the server, or none.
test("a follower is told who departed before it hears of servers or routes", () => {
  const { state, view, sent, start, stop } = openSession();
  applyCommand(
    state,
    { kind: "replace-routing", version: 1, document: "{}" },
    1,
  );
  view.addOwnDepartures([createDeparture("i-1")], "stored");
  start();
  view.addRemoteDepartures([{
    departure: createDeparture("i-2"),
    toldAt: 0,
  }]);
  stop();
  const cases = sent.map((body) => body.case);
  const first = cases.indexOf("departures");
  assert.ok(first >= 0);
  assert.ok(first < cases.indexOf("routing"));
  assert.ok(first < cases.indexOf("backends"));
  assert.deepEqual(departuresIn(sent), ["i-1", "i-2"]);
});

// Guards against a host that holds a departure in its log while the one that was
// told, or the leader, is lost: the others would hear of it only once there is a
// leader again. None of it may circulate among control hosts.
test("control hosts pass on what their log holds, and not what they were passed", () => {
  const { view, sent, start, stop } = openSession();
  start({ isControl: true });
  view.addRemoteDepartures([{
    departure: createDeparture("i-1"),
    toldAt: 0,
  }]);
  view.addOwnDepartures([createDeparture("i-1")], "stored");
  view.addOwnDepartures([createDeparture("i-2")], "stored");
  view.addOwnDepartures([createDeparture("i-2")], "heard");
  stop();
  assert.deepEqual(departuresIn(sent), ["i-2"]);
});

// Guards against counts of a gateway that is gone.
test("a session that is over speaks for no gateway any more", () => {
  const { session, endedSessions, start, stop } = openSession();
  start();
  assert.equal(endedSessions.mock.callCount(), 0);
  stop();
  assert.deepEqual(endedSessions.mock.calls[0]?.arguments, [session]);
});

// Guards against gateways that leave the members for the hosts that an empty one
// was told of as it started, of which some are gone.
test("a host that isn't current yet names no control hosts", () => {
  let isCurrent = false;
  const controlAddresses = ["10.0.0.1:7700"];
  const { sent, view, start, stop } = openSession({
    controlAddresses,
    isCurrent: () => isCurrent,
  });
  const named = () =>
    sent.filter((body) => body.case === "controlHosts")
      .map(({ value }) => value.addresses);
  start();
  view.controlHostsChanged$.next();
  const namedEarly = named();
  isCurrent = true;
  view.stateChanged$.next();
  view.stateChanged$.next();
  const namedOnce = named();
  view.controlHostsChanged$.next();
  stop();
  assert.deepEqual(namedEarly, []);
  assert.deepEqual(namedOnce, [controlAddresses]);
  assert.equal(named().length, 2);
});

// Guards against control hosts that send each other configurations, which each
// has from the log: encoded and compressed for nothing, while a leader has to be
// heard within an election time.
test("control hosts are not sent what they have from the log", () => {
  const { state, sent, order, start, stop } = openSession({
    controlAddresses: ["c:1"],
  });
  const command = { kind: "replace-routing" as const, document: "{}" };
  applyCommand(state, { ...command, version: 1 }, 1);
  start({ isControl: true });
  order(true, 0, 2);
  stop();
  const cases = sent.map((body) => body.case);
  assert.ok(cases.includes("controlHosts"));
  assert.ok(!cases.includes("routing"));
  assert.ok(!cases.includes("evacuations"));
});

// Guards against a configuration that is encoded anew for each follower.
test("followers are sent the same bytes of a configuration", () => {
  const first = openSession();
  const command = { kind: "replace-routing" as const, document: "{}" };
  applyCommand(first.state, { ...command, version: 1 }, 1);
  const second = new FollowSession(first.view);
  const documents: Uint8Array[] = [];
  for (const { outgoing$ } of [first.session, second]) {
    outgoing$.subscribe(({ body }) => {
      if (body.case === "routing") documents.push(body.value.document);
    });
  }
  first.start();
  const value = { host: "h", dataCentre: "here", isControl: false };
  second.handleMessage(
    create(FollowerToControlSchema, { body: { case: "hello", value } }),
  );
  second.close();
  first.stop();
  assert.equal(documents.length, 2);
  assert.equal(documents[0], documents[1]);
});
