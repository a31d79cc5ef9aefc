import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { EngineLoad } from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Subject } from "rxjs";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { BackendPool } from "./backend_pool.ts";
import type { ControlFeed } from "./control_feed.ts";
import type { NamedLimits } from "./named_limits.ts";

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

function openPool(namedLimits = { isLimited: () => false } as object) {
  const backends$ = new Subject<BackendAnnouncement[]>();
  const loads$ = new Subject<EngineLoad[]>();
  const endedServers$ = new Subject<BackendAnnouncement>();
  const pool = new BackendPool({
    feed: {
      backends$,
      loads$,
      backendsOf: () => [ANNOUNCEMENT, OTHER],
      engineAt: () => undefined,
    } as unknown as ControlFeed,
    host: "gateway",
    dataCentre: "here",
    weightsBoundMilliseconds: 8_000,
    namedLimits: namedLimits as NamedLimits,
    endedServers$,
  });
  backends$.next([ANNOUNCEMENT, OTHER]);
  return { pool, backends$, endedServers$ };
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
  const query = {
    id: "a",
    willSend: false,
    service: "ledger",
    engine: undefined,
    model: undefined,
    promptTokens: 0,
    tried: new Set<string>(),
    weightsVersion: undefined,
  };
  assert.equal(pool.choose(query), undefined);
  assert.equal(pool.millisecondsUntilCapacity(query), 400);
});
