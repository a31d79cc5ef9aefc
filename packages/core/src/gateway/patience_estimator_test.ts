import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../random/seeded_random.ts";
import type { Route } from "./route.ts";
import { UsualPatience } from "./usual_patience.ts";

const ROUTE = { name: "r", timeoutMilliseconds: 6_000 } as Route;

// A client is refused at a crowded gateway and comes back a second later with
// a second less to wait. Taken for a first try, it would go ahead of requests
// that can still be in time, though its own answer is late whatever happens.
test("who comes back is known by the time that is missing", () => {
  const patience = new UsualPatience();
  for (let first = 0; first < 20; first += 1) {
    assert.equal(patience.spentBefore(ROUTE, 6_030), 0);
  }
  assert.equal(patience.spentBefore(ROUTE, 5_030), 1_000);
  assert.equal(patience.spentBefore(ROUTE, 6_030), 0);
  assert.equal(patience.spentBefore(ROUTE, undefined), 0);
});

test("one client that waits unusually long makes no other late", () => {
  const patience = new UsualPatience();
  patience.spentBefore(ROUTE, 60_000);
  for (let first = 0; first < 5; first += 1) {
    patience.spentBefore(ROUTE, 6_030);
  }
  assert.equal(patience.spentBefore(ROUTE, 6_030), 0);
});

test("just started, the route's own bound tells", () => {
  const patience = new UsualPatience();
  assert.equal(patience.spentBefore(ROUTE, 4_500), 1_500);
});

// An operator raises a route's bound to 9 s; its clients go on waiting 6 s. All
// of them were taken for clients that had spent 3 s on earlier tries, went
// behind each other, and most were late for as long as that bound stood.
test("a bound beyond what clients wait makes nobody late", () => {
  const raised = { ...ROUTE, timeoutMilliseconds: 9_000 };
  const patience = new UsualPatience();
  for (let first = 0; first < 20; first += 1) {
    patience.spentBefore(raised, 6_030);
  }
  assert.equal(patience.spentBefore(raised, 6_030), 0);
  assert.equal(patience.spentBefore(raised, 5_000), 1_030);
});

// Clients say how long they wait by their own clocks: between 5.1 and 6 s. One
// in three looked as if it had spent half a second on an earlier try, was
// placed behind the others for that, and answered late at a calm hour.
test("clients that wait unlike each other are not taken for returning", () => {
  const random = seededRandom(7);
  const patience = new UsualPatience();
  const draw = () => 5_100 + 900 * random();
  let returning = 0;
  for (let first = 0; first < 2_000; first += 1) {
    if (patience.spentBefore(ROUTE, draw()) > 0) returning += 1;
  }
  assert.ok(returning < 20, `${returning} of 2,000`);
  assert.ok(patience.spentBefore(ROUTE, draw() - 1_500) > 500);
});

// Pattern: behind an outage every second request is a second try.
test("many that come back do not pass for first tries", () => {
  const random = seededRandom(8);
  const patience = new UsualPatience();
  const draw = () => 5_100 + 900 * random();
  let found = 0;
  for (let request = 0; request < 1_000; request += 1) {
    patience.spentBefore(ROUTE, draw());
    if (patience.spentBefore(ROUTE, draw() - 1_800) > 0) found += 1;
  }
  assert.ok(found > 900, `${found} of 1,000`);
});
