import assert from "node:assert/strict";
import { test } from "node:test";
import { USUAL_BOUNDS } from "../usual_bounds.ts";
import type { BudgetArrival } from "./budget_arrival.ts";
import type { BudgetRecord } from "./budget_record.ts";
import type { BudgetRequest } from "./budget_request.ts";
import { findBudgetFaults } from "./find_budget_faults.ts";

const BOUNDS = {
  ...USUAL_BOUNDS,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 10,
  budgetWindowS: 10,
};
const DEADLINE_MILLISECONDS = 3_000;

function buildRequest(index: number, fields = {}): BudgetRequest {
  return {
    id: `r-${index}`,
    kind: "safe",
    service: "plain",
    gateway: "gateway",
    sentAt: index,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    ...fields,
  };
}

function buildArrival(
  { id, service, sentAt }: BudgetRequest,
  fields: Partial<BudgetArrival> = {},
): BudgetArrival {
  return {
    id,
    service,
    instance: "one",
    at: sentAt,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    ...fields,
  };
}

function buildDay(fields: Partial<BudgetRecord>): BudgetRecord {
  return {
    bounds: BOUNDS,
    requests: [],
    arrivals: [],
    runs: [],
    endedInstances: new Set(),
    maxAttempts: 2,
    disruptions: [],
    ...fields,
  };
}

/** Requests of one service, `repeated` of which arrive twice. */
function buildRepeats(count: number, repeated: number, fields = {}) {
  const requests = Array.from(
    { length: count },
    (_, index) => buildRequest(index, fields),
  );
  const arrivals = requests.flatMap((request, index) => [
    buildArrival(request),
    ...(index < repeated
      ? [buildArrival(request, { at: request.sentAt + 100 })]
      : []),
  ]);
  return { requests, arrivals };
}

// Guards against a check that misses repeats beyond ratio and slack.
test("repeats beyond their budget are found, those within it are not", () => {
  const allowed = 0.2 * 100 + 10;
  assert.deepEqual(findBudgetFaults(buildDay(buildRepeats(100, allowed))), []);
  const faults = findBudgetFaults(buildDay(buildRepeats(100, allowed + 1)));
  assert.equal(faults.length, 1);
  assert.match(faults[0]!, /^plain got 31 repeats in a window, 30\.0 allowed/);
});

// Guards against a check that sums over services, or over the whole day.
test("requests of other services and times allow no repeats", () => {
  const plain = buildRepeats(50, 25);
  const others = buildRepeats(5_000, 0, { service: "writer" });
  const later = buildRepeats(5_000, 0).requests.map((_, index) =>
    buildRequest(index, { id: `later-${index}`, sentAt: 60_000 })
  );
  const named = others.requests.map((request) => ({
    ...request,
    id: `other-${request.id}`,
  }));
  const day = buildDay({
    requests: [...plain.requests, ...named, ...later],
    arrivals: plain.arrivals,
  });
  assert.equal(findBudgetFaults(day).length, 1);
});

// Guards against a check that misses what earlier windows allow.
test("requests of the window before allow repeats", () => {
  const requests = Array.from(
    { length: 100 },
    (_, index) => buildRequest(index, { kind: "stream" }),
  );
  const repeatAt = (at: number) =>
    buildDay({
      requests,
      arrivals: requests.slice(0, 30).flatMap((request) => [
        buildArrival(request),
        buildArrival(request, { at }),
      ]),
    });
  assert.deepEqual(findBudgetFaults(repeatAt(10_000)), []);
  assert.equal(findBudgetFaults(repeatAt(25_000)).length, 1);
});

// Guards against a check that misses time that isn't left any more.
test("deadlines that are too long are found", () => {
  const requests = Array.from(
    { length: 30 },
    (_, index) => buildRequest(index),
  );
  const build = (fields: Partial<BudgetArrival>) =>
    buildDay({
      bounds: { ...BOUNDS, retryBudgetSlack: 1_000 },
      requests,
      arrivals: requests.flatMap((request) => [
        buildArrival(request),
        buildArrival(request, { at: request.sentAt + 1_000, ...fields }),
      ]),
    });
  const left = DEADLINE_MILLISECONDS - 1_000;
  assert.deepEqual(findBudgetFaults(build({ deadlineMilliseconds: left })), []);
  for (const deadlineMilliseconds of [undefined, left + 600, 9_000]) {
    const faults = findBudgetFaults(build({ deadlineMilliseconds }));
    assert.deepEqual(faults, ["30 of 30 were told more time than is left"]);
  }
  const frozen = build({ deadlineMilliseconds: undefined });
  const disruptions = [{ gateway: "gateway", from: 0, to: 100 }];
  assert.deepEqual(findBudgetFaults({ ...frozen, disruptions }), []);
});

// Guards against a check that misses requests that ran on too many servers.
test("requests on too many servers are found, unless servers ended", () => {
  const runs = Array.from(
    { length: 4 },
    (_, index) =>
      ["one", "two", "three"].map((instance) => ({
        id: `r-${index}`,
        instance,
      })),
  )
    .flat();
  assert.deepEqual(findBudgetFaults(buildDay({ runs })), [
    "4 requests ran on over 2 servers",
  ]);
  assert.deepEqual(findBudgetFaults(buildDay({ runs: runs.slice(0, 9) })), []);
  const endedInstances = new Set(["two"]);
  assert.deepEqual(findBudgetFaults(buildDay({ runs, endedInstances })), []);
});
