import { create } from "@bufbuild/protobuf";
import {
  BackendSchema,
  BackendState,
  type ControlUpdate,
  ControlUpdateSchema,
  DepartureSchema,
} from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Subject } from "rxjs";
import { Result } from "true-myth";
import { EventLog } from "../log/event_log.ts";
import type { FollowSet } from "../transport/follow_set.ts";
import { ControlFeed } from "./control_feed.ts";

function openFeed() {
  const updates$ = new Subject<{ address: string; update: ControlUpdate }>();
  const feed = new ControlFeed({
    followSet: { updates$ } as unknown as FollowSet,
    decodeRouting: () => Result.err("none"),
    log: new EventLog("gateway", "error"),
  });
  const send = (address: string, body: ControlUpdate["body"]) =>
    updates$.next({ address, update: create(ControlUpdateSchema, { body }) });
  const tellReady = (address: string, sequence: number) =>
    send(address, {
      case: "backends",
      value: {
        $typeName: "teaselrouter.v1.BackendChanges",
        whole: true,
        backends: [create(BackendSchema, {
          instance: "i-1",
          service: "ledger",
          address: "10.0.0.1:80",
          state: BackendState.READY,
          bornAt: 1_000,
          sequence,
        })],
      },
    });
  const tellGone = (address: string, bornAt?: number) =>
    send(address, {
      case: "departures",
      value: {
        $typeName: "teaselrouter.v1.Departures",
        departures: [create(DepartureSchema, {
          instance: "i-1",
          ...(bornAt !== undefined && { bornAt }),
          sequence: Number.MAX_SAFE_INTEGER,
          state: BackendState.GONE,
          at: 5_000,
        })],
      },
    });
  return { feed, tellReady, tellGone };
}

// Guards against a gateway that follows two control hosts, of which one has a
// word of the server that was delayed, and sends to a server that has left.
test("a gateway holds to a departure whatever another control host still says", () => {
  for (const bornAt of [1_000, undefined]) {
    const { feed, tellReady, tellGone } = openFeed();
    tellReady("one", 3);
    assert.equal(feed.backendsOf("ledger").length, 1);
    let changes = 0;
    feed.backends$.subscribe(() => {
      changes += 1;
    });
    tellGone("one", bornAt);
    tellGone("two", bornAt);
    assert.equal(changes, 1);
    tellReady("two", 9);
    assert.deepEqual(feed.backendsOf("ledger"), []);
  }
});

// Guards against a gateway that has just started, to which one host names the
// departure and another one the server.
test("a gateway that doesn't know the server yet remembers its departure", () => {
  const { feed, tellReady, tellGone } = openFeed();
  tellGone("one", 1_000);
  tellReady("two", 9);
  assert.deepEqual(feed.backendsOf("ledger"), []);
});
