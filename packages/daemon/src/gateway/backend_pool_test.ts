import type { AnswerMetadata } from "@teaselrouter/core/gateway/answer_metadata.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { EngineLoad } from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import { createDefaultTerms } from "@teaselrouter/core/dispatch/create_default_terms.ts";
import { test } from "node:test";
import { Subject } from "rxjs";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { BackendPool } from "./backend_pool.ts";
import type { ControlFeed } from "./control_feed.ts";
import { EventLog } from "../log/event_log.ts";
import type { NamedLimits } from "./named_limits.ts";
import { ServerPushbacks } from "./server_pushbacks.ts";

const ANNOUNCEMENT: BackendAnnouncement = {
  instance: "one",
  service: "ledger",
  address: "10.0.0.1:80",
  dataCentre: "here",
  slots: 4,
  state: "ready",
  bornAt: 1_000,
  sequence: 1,
  coldMilliseconds: 0,
  models: [],
};

const OTHER = { ...ANNOUNCEMENT, instance: "two", address: "10.0.0.2:80" };

const QUERY = {
  id: "a",
  route: "r",
  workspace: undefined,
  willSend: false,
  service: "ledger",
  engine: undefined,
  model: undefined,
  promptTokens: 0,
  tried: new Set<string>(),
  weightsVersion: undefined,
};

const PAUSE: AnswerMetadata = {
  id: "a",
  instance: undefined,
  isNotRun: true,
  isSigned: false,
  weightsVersion: undefined,
  limitPerSecond: undefined,
  load: undefined,
  requestedPause: 60_000,
  isShuttingDown: false,
  unreadableFields: [],
};

function openPool(namedLimits = { isLimited: () => false } as object) {
  const backends$ = new Subject<BackendAnnouncement[]>();
  const loads$ = new Subject<EngineLoad[]>();
  const endedServers$ = new Subject<BackendAnnouncement>();
  const pushbacks = new ServerPushbacks({
    random: () => 0.5,
    log: new EventLog("gateway", "error"),
  });
  const pool = new BackendPool({
    dispatch: createDefaultTerms(),
    feed: {
      backends$,
      loads$,
      backendsOf: () => [ANNOUNCEMENT, OTHER],
      engineAt: () => undefined,
    } as unknown as ControlFeed,
    host: "gateway",
    dataCentre: "here",
    weightsBoundMilliseconds: 8_000,
    namedLimits: {
      perSecondOf: () => undefined,
      ...namedLimits,
    } as unknown as NamedLimits,
    listening: { since: -Infinity },
    pushbacks,
    endedServers$,
  });
  backends$.next([ANNOUNCEMENT, OTHER]);
  return { pool, pushbacks, backends$, endedServers$ };
}

function isEjected(pool: BackendPool): boolean {
  return pool.recordOf(ANNOUNCEMENT.instance).isEjected(
    monotonicMilliseconds(),
  );
}

// Guards against sending more requests to a backend server that is known to
// have ended.
test("a backend server that ended is ejected until it restarts", () => {
  const { pool, backends$, endedServers$ } = openPool();
  endedServers$.next(ANNOUNCEMENT);
  assert.equal(isEjected(pool), true);
  backends$.next([{ ...ANNOUNCEMENT, bornAt: 5_000 }]);
  assert.equal(isEjected(pool), false);
});

// Guards against late news of an end, received after the next start.
test("late news of an end does not eject the next start", () => {
  const { pool, backends$, endedServers$ } = openPool();
  backends$.next([{ ...ANNOUNCEMENT, bornAt: 5_000 }]);
  endedServers$.next(ANNOUNCEMENT);
  assert.equal(isEjected(pool), false);
});

// Guards against an attempt that is likely to fail, where the client could
// instead be told when the limit of the healthy backend server allows a retry.
test("no ejected backend server is tried if the only other one is at its limit", () => {
  const { pool, endedServers$ } = openPool({
    isLimited: ({ instance }: BackendAnnouncement) => instance === "one",
    hasCapacity: ({ instance }: BackendAnnouncement) => instance !== "one",
    millisecondsUntilCapacity: () => 400,
  });
  endedServers$.next(OTHER);
  assert.equal(pool.choose(QUERY), undefined);
  assert.equal(pool.millisecondsUntilCapacity(QUERY), 400);
});

// Guards against requests that wait beyond a cut link, where no server outside
// their region may take them over.
test("a request bound to a region isn't sent where all servers are silent", () => {
  const { pool } = openPool();
  const sentAt = monotonicMilliseconds() - 5_000;
  for (const { instance } of [ANNOUNCEMENT, OTHER]) {
    pool.recordOf(instance).beginRequest(sentAt);
  }
  const bound = { ...QUERY, permittedRegions: new Set(["north"]) };
  assert.equal(pool.choose(bound), undefined);
  assert.notEqual(pool.choose(QUERY), undefined, "others are as before");
  pool.recordOf("two").recordDataReceived(monotonicMilliseconds());
  assert.equal(pool.choose(bound)?.announcement.instance, "two");
});

// Guards against requests to a backend server that has asked for a pause, against
// a refusal while another one has room, and against a pause that is laid to the
// next start at the same address.
test("a backend server that asked for a pause is no candidate, its next start is", () => {
  const { pool, pushbacks } = openPool();
  pushbacks.recordAnswer(ANNOUNCEMENT, PAUSE, "a");
  const chosen = () => pool.choose(QUERY)?.announcement.instance;
  assert.equal(chosen(), "two");
  assert.deepEqual(pool.listPushingBack(QUERY), [ANNOUNCEMENT]);
  pushbacks.recordAnswer(OTHER, PAUSE, "b");
  assert.equal(chosen(), undefined);
  assert.equal(isEjected(pool), false, "a pause is no failure");
  assert.equal(pushbacks.admits({ ...ANNOUNCEMENT, bornAt: 5_000 }), true);
});

// Guards against a request that still waits for its connection when its backend
// server asks for a pause.
test("a pause withdraws the requests that are not sent yet", () => {
  const { pushbacks } = openPool();
  const withdrawn: string[] = [];
  const stop = pushbacks.onClosed(
    ANNOUNCEMENT,
    () => withdrawn.push("ended before"),
  );
  stop();
  pushbacks.onClosed(ANNOUNCEMENT, () => withdrawn.push("one"));
  pushbacks.onClosed(OTHER, () => withdrawn.push("two"));
  pushbacks.recordAnswer(ANNOUNCEMENT, PAUSE, "a");
  assert.deepEqual(withdrawn, ["one"]);
});

// Guards against requests to a backend server that is shutting down, though its
// heartbeats still call it ready or it was reported gone for a while.
test("a backend server that announced its shutdown gets no more requests", () => {
  const { pool, pushbacks, backends$ } = openPool();
  const notice = { ...PAUSE, requestedPause: undefined, isShuttingDown: true };
  pushbacks.recordAnswer(ANNOUNCEMENT, notice, "a");
  backends$.next([{ ...ANNOUNCEMENT, state: "gone" }]);
  backends$.next([{ ...ANNOUNCEMENT, sequence: 2 }]);
  assert.equal(pool.choose(QUERY)?.announcement.instance, "two");
  assert.equal(pushbacks.millisecondsUntilOpen(ANNOUNCEMENT), Infinity);
  assert.equal(pushbacks.isShuttingDown(OTHER), false);
});
