import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import type { Route } from "./route.ts";
import { PatienceEstimator } from "./patience_estimator.ts";

const ROUTE = { name: "r", timeoutMilliseconds: 6_000 } as Route;

// An overloaded gateway refuses a client, which retries a second later with a
// second less to wait. If taken for a first try, it would go ahead of requests
// that can still meet their target, although its own response is late anyway.
test("a retry is recognized by the time already spent", () => {
  const patience = new PatienceEstimator();
  for (let first = 0; first < 20; first += 1) {
    assert.equal(patience.estimateSpentMilliseconds(ROUTE, 6_030), 0);
  }
  assert.equal(patience.estimateSpentMilliseconds(ROUTE, 5_030), 1_000);
  assert.equal(patience.estimateSpentMilliseconds(ROUTE, 6_030), 0);
  assert.equal(patience.estimateSpentMilliseconds(ROUTE, undefined), 0);
});

test("one unusually long timeout makes no other client look like a retry", () => {
  const patience = new PatienceEstimator();
  patience.estimateSpentMilliseconds(ROUTE, 60_000);
  for (let first = 0; first < 5; first += 1) {
    patience.estimateSpentMilliseconds(ROUTE, 6_030);
  }
  assert.equal(patience.estimateSpentMilliseconds(ROUTE, 6_030), 0);
});

test("with few samples the route's timeout counts", () => {
  const patience = new PatienceEstimator();
  assert.equal(patience.estimateSpentMilliseconds(ROUTE, 4_500), 1_500);
});

// An operator raises a route's timeout to 9 s, but its clients still wait 6 s.
// All of them were taken for retries that had spent 3 s on earlier tries and
// queued behind each other, and most were late as long as that timeout applied.
test("a route's timeout beyond the clients' own marks no first try as a retry", () => {
  const raised = { ...ROUTE, timeoutMilliseconds: 9_000 };
  const patience = new PatienceEstimator();
  for (let first = 0; first < 20; first += 1) {
    patience.estimateSpentMilliseconds(raised, 6_030);
  }
  assert.equal(patience.estimateSpentMilliseconds(raised, 6_030), 0);
  assert.equal(patience.estimateSpentMilliseconds(raised, 5_000), 1_030);
});

// Clients state how long they wait by their own clocks: between 5.1 and 6 s.
// One in three looked as if it had spent half a second on an earlier try, was
// therefore queued behind the others, and got a late response at low load.
test("clients with different timeouts are not taken for retries", () => {
  const random = createSeededRandom(7);
  const patience = new PatienceEstimator();
  const draw = () => 5_100 + 900 * random();
  let misjudged = 0;
  for (let first = 0; first < 2_000; first += 1) {
    if (patience.estimateSpentMilliseconds(ROUTE, draw()) > 0) misjudged += 1;
  }
  assert.ok(misjudged < 20, `${misjudged} of 2,000`);
  assert.ok(patience.estimateSpentMilliseconds(ROUTE, draw() - 1_500) > 500);
});

// After an outage every second request is a retry.
test("many retries are not taken for first tries", () => {
  const random = createSeededRandom(8);
  const patience = new PatienceEstimator();
  const draw = () => 5_100 + 900 * random();
  let found = 0;
  for (let request = 0; request < 1_000; request += 1) {
    patience.estimateSpentMilliseconds(ROUTE, draw());
    if (patience.estimateSpentMilliseconds(ROUTE, draw() - 1_800) > 0) {
      found += 1;
    }
  }
  assert.ok(found > 900, `${found} of 1,000`);
});
