import assert from "node:assert/strict";
import { test } from "node:test";
import { BackendRecord } from "./backend_record.ts";
import { SharedRetryBudget } from "./shared_retry_budget.ts";

test("a report is corrected by what was sent and ended since", () => {
  const record = new BackendRecord();
  record.inFlight = 2;
  record.takeReport({ running: 6, waiting: 1, slots: 6 }, 0);
  assert.equal(record.estimateRequests(10), 7);
  record.inFlight = 5;
  assert.equal(record.estimateRequests(10), 10);
  record.inFlight = 0;
  assert.equal(record.estimateRequests(10), 5);
  assert.equal(record.estimateRequests(5_000), 0);
});

test("one that fails half of its requests is left aside, then tried again", () => {
  // Story: a backend server answers its health check and fails half of the
  // requests. Within a few of them it gets no more; it comes back after a
  // pause that grows while it goes on failing.
  const record = new BackendRecord();
  let now = 0;
  const failUntilAside = () => {
    let failures = 0;
    while (!record.isAside(now)) {
      record.countSuccess();
      record.countFailure(now);
      failures += 1;
      assert.ok(failures < 20);
    }
    return failures;
  };
  failUntilAside();
  assert.equal(record.isAside(now + 499), true);
  now += 500;
  assert.equal(record.isAside(now), false);
  failUntilAside();
  assert.equal(record.isAside(now + 999), true);
});

test("extra sends stay within their part of the requests", () => {
  const budget = new SharedRetryBudget({ ratio: 0.1, mostSaved: 8 });
  let spent = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.countRequest();
    while (budget.trySpend()) spent += 1;
  }
  assert.ok(spent <= 1_000 * 0.1 + 8, `${spent}`);
});
