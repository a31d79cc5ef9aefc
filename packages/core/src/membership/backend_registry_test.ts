import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { BackendRegistry } from "./backend_registry.ts";
import type { Departure } from "../departures/departure.ts";
import { LAST_SEQUENCE } from "../departures/last_sequence.ts";
import type { BackendAnnouncement } from "./backend_announcement.ts";

function createAnnouncement(
  change: Partial<BackendAnnouncement>,
): BackendAnnouncement {
  return {
    instance: "i-1",
    service: "ledger",
    address: "10.0.0.1:80",
    dataCentre: "van-a",
    slots: 6,
    state: "ready",
    bornAt: 1_000,
    sequence: 1,
    coldMilliseconds: 0,
    models: [],
    ...change,
  };
}

function leaveForGood(known: BackendRegistry, change: Partial<Departure> = {}) {
  const departure: Departure = {
    instance: "i-1",
    bornAt: 1_000,
    sequence: LAST_SEQUENCE,
    state: "gone",
    at: 5_000,
    ...change,
  };
  return known.depart(departure, { now: 10, toldAt: 10 });
}

function registry(): BackendRegistry {
  return new BackendRegistry({
    silenceTimeoutMilliseconds: 6_000,
    goneRetentionMilliseconds: 60_000,
  });
}

test("a heartbeat delayed by a partition restores no backend server", () => {
  // A backend server announces that it leaves, and is gone. A heartbeat that it
  // sent before, delayed by a cut link, arrives after that.
  const known = registry();
  known.merge(createAnnouncement({ sequence: 5 }), 0);
  assert.equal(leaveForGood(known).changed.length, 1);
  assert.deepEqual(known.merge(createAnnouncement({ sequence: 7 }), 20), []);
  assert.deepEqual(known.live(), []);
});

test("a start that reuses an instance id replaces the earlier start", () => {
  const known = registry();
  known.merge(createAnnouncement({ sequence: 900 }), 0);
  leaveForGood(known);
  known.merge(createAnnouncement({ bornAt: 2_000, sequence: 1 }), 20);
  assert.equal(known.live()[0]?.bornAt, 2_000);
  assert.deepEqual(known.merge(createAnnouncement({ sequence: 901 }), 30), []);
});

// Guards against gateways that never hear that a server has become cold again, or
// that it no longer is.
test("a cold period after the first changes routing when it begins and ends", () => {
  const known = registry();
  const beat = (sequence: number, coldMilliseconds: number, now: number) =>
    known.merge(createAnnouncement({ sequence, coldMilliseconds }), now).length;
  assert.equal(beat(1, 3_000, 0), 1, "it is new");
  assert.equal(beat(2, 1_800, 1_200), 0, "it is as cold as was known");
  assert.equal(beat(3, 0, 3_600), 0, "the first one ends as was known");
  assert.equal(beat(4, 2_900, 4_800), 1, "it became cold");
  assert.equal(beat(5, 1_700, 6_000), 0);
  assert.equal(beat(6, 0, 8_400), 1, "it is no longer");
  assert.equal(beat(7, 0, 9_600), 0);
});

test("a new instance ends the earlier one at the same address", () => {
  const known = registry();
  known.merge(createAnnouncement({}), 0);
  const changed = known.merge(
    createAnnouncement({ instance: "i-2", service: "portal", bornAt: 5_000 }),
    10,
  );
  assert.deepEqual(
    changed.map(({ instance, state }) => [instance, state]),
    [["i-2", "ready"], ["i-1", "gone"]],
  );
});

test("a silent backend server returns with its next announcement", () => {
  const known = registry();
  known.merge(createAnnouncement({}), 0);
  assert.equal(known.expire(5_000).length, 0);
  assert.equal(known.expire(6_001)[0]?.state, "gone");
  assert.equal(
    known.merge(createAnnouncement({ sequence: 2 }), 6_100).length,
    1,
  );
  assert.equal(known.live().length, 1);
});

test("hosts that get the same announcements in any order agree", () => {
  const random = createSeededRandom(7);
  for (let round = 0; round < 300; round += 1) {
    const announcements: BackendAnnouncement[] = [];
    for (let start = 1; start <= 2; start += 1) {
      for (let sequence = 1; sequence <= 4; sequence += 1) {
        const state = random() < 0.3 ? "leaving" : "ready";
        announcements.push(
          createAnnouncement({ bornAt: start, sequence, state }),
        );
      }
    }
    const shuffled = [...announcements].sort(() => random() - 0.5);
    const left = registry();
    const right = registry();
    for (const announcement of announcements) left.merge(announcement, 0);
    for (const announcement of shuffled) right.merge(announcement, 0);
    assert.deepEqual(left.all(), right.all());
  }
});
