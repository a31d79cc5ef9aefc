import assert from "node:assert/strict";
import { test } from "node:test";
import { BackendRegistry } from "../membership/backend_registry.ts";
import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import type { Departure } from "./departure.ts";
import { LAST_SEQUENCE } from "./last_sequence.ts";

const RETENTION_MILLISECONDS = 60_000;
const SEEDS = 300;

function createAnnouncement(
  change: Partial<BackendAnnouncement> = {},
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

function createDeparture(change: Partial<Departure> = {}): Departure {
  return {
    instance: "i-1",
    bornAt: 1_000,
    sequence: LAST_SEQUENCE,
    state: "gone",
    at: 5_000,
    ...change,
  };
}

function openRegistry(): BackendRegistry {
  return new BackendRegistry({
    silenceTimeoutMilliseconds: 6_000,
    goneRetentionMilliseconds: RETENTION_MILLISECONDS,
  });
}

const NOW = { now: 10, toldAt: 10 };

// Guards against a host that starts, is told of a departure before it knows the
// server, and takes the server up from another host's list.
test("a departure of an unknown server holds back what others still say", () => {
  const known = openRegistry();
  assert.deepEqual(known.depart(createDeparture(), NOW), {
    isNew: true,
    changed: [],
  });
  assert.equal(known.depart(createDeparture(), NOW).isNew, false);
  assert.deepEqual(known.merge(createAnnouncement({ sequence: 9 }), 20), []);
  assert.deepEqual(known.live(), []);
  assert.equal(known.departures().length, 1);
});

// Guards against a heartbeat from before the leaving that comes after it, of a
// server that was taken for gone by its silence already.
test("a server gone by silence that leaves is not restored by a late word", () => {
  const known = openRegistry();
  known.merge(createAnnouncement({ sequence: 5 }), 0);
  assert.equal(known.expire(6_001).length, 1);
  known.depart(createDeparture(), { now: 6_010, toldAt: 6_010 });
  assert.deepEqual(known.merge(createAnnouncement({ sequence: 7 }), 6_020), []);
  assert.deepEqual(known.live(), []);
});

test("a later start at the same address or id is not held back", () => {
  for (const bornAt of [1_000, undefined]) {
    const known = openRegistry();
    known.depart(createDeparture({ bornAt }), NOW);
    known.merge(createAnnouncement({ bornAt: 6_000 }), 20);
    assert.equal(known.live()[0]?.bornAt, 6_000);
    known.merge(createAnnouncement({ instance: "i-2", bornAt: 7_000 }), 30);
    assert.equal(known.live()[0]?.instance, "i-2");
  }
});

test("a departure of an unknown start holds for what started before it", () => {
  const known = openRegistry();
  known.merge(createAnnouncement({ bornAt: 4_000, sequence: 3 }), 0);
  const { changed } = known.depart(
    createDeparture({ bornAt: undefined }),
    NOW,
  );
  assert.deepEqual(changed.map(({ state }) => state), ["gone"]);
  known.merge(createAnnouncement({ bornAt: 4_000, sequence: 4 }), 20);
  assert.deepEqual(known.live(), []);
});

// Guards against gateways that go on with a server that drains, as the host
// that was told has restarted and another one's word is older.
test("a server that leaves does so for earlier words, and can take it back", () => {
  const known = openRegistry();
  known.merge(createAnnouncement({ sequence: 4 }), 0);
  const departure = createDeparture({ state: "leaving", sequence: 6 });
  assert.equal(known.depart(departure, NOW).changed[0]?.state, "leaving");
  assert.equal(known.leavingSince("i-1"), 6);
  assert.deepEqual(known.merge(createAnnouncement({ sequence: 5 }), 20), []);
  known.merge(createAnnouncement({ sequence: 7, state: "leaving" }), 30);
  assert.equal(known.leavingSince("i-1"), 6);
  known.merge(createAnnouncement({ sequence: 8 }), 40);
  assert.equal(known.live()[0]?.state, "ready");
  assert.equal(known.leavingSince("i-1"), undefined);
});

test("a departure is remembered for a bounded time from when it was told", () => {
  const known = openRegistry();
  const toldAt = 1_000;
  known.depart(createDeparture(), { now: 50_000, toldAt });
  known.expire(toldAt + RETENTION_MILLISECONDS);
  assert.equal(known.departures().length, 1);
  known.expire(toldAt + RETENTION_MILLISECONDS + 1);
  assert.deepEqual(known.departures(), []);
});

// Guards against hosts that disagree for good on who is gone, by the order in
// which they heard it: from servers, logs and each other.
test("whatever the order of words, none restores a start that left", () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = createSeededRandom(seed);
    const known = openRegistry();
    const words: (() => unknown)[] = [];
    const starts = 1 + Math.floor(random() * 3);
    for (let start = 1; start <= starts; start += 1) {
      const bornAt = start * 10_000;
      for (let sequence = 1; sequence <= 4; sequence += 1) {
        words.push(() =>
          known.merge(createAnnouncement({ bornAt, sequence }), sequence)
        );
      }
      const departure = createDeparture({ bornAt, at: bornAt + 5_000 });
      words.push(
        () => known.depart(departure, NOW),
        () =>
          known.depart(
            { ...departure, state: "leaving", sequence: 4 },
            NOW,
          ),
      );
      if (random() < 0.3) {
        words.push(() =>
          known.depart({ ...departure, bornAt: undefined }, NOW)
        );
      }
    }
    const order = words.map((word) => ({ word, rank: random() }))
      .sort((left, right) => left.rank - right.rank);
    for (const { word } of order) word();
    assert.deepEqual(known.live(), [], `seed ${seed}`);
  }
});
