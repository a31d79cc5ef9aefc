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

test("one that says nothing more while answers are due is silent", () => {
  // Story: a backend server's host freezes. Its kept connections stay open and
  // take requests, and no error comes until each client has left.
  const record = new BackendRecord();
  assert.equal(record.isSilent(10_000), false, "nothing is due");
  record.noteSend(10_000);
  record.inFlight = 1;
  assert.equal(record.isSilent(10_600), false);
  record.noteHeard(10_650);
  assert.equal(record.isSilent(11_300), false);
  assert.equal(record.isSilent(11_400), true);
  record.noteSend(11_400);
  record.inFlight = 2;
  assert.equal(record.isSilent(11_400), true, "a send says nothing of it");
  record.inFlight = 0;
  assert.equal(record.isSilent(11_500), false, "it may be tried again");
});

test("a service that takes long to answer is not silent for that", () => {
  const record = new BackendRecord();
  for (let answer = 0; answer < 30; answer += 1) record.noteHead(1_000);
  record.noteSend(0);
  record.inFlight = 1;
  assert.equal(record.isSilent(2_000), false);
  assert.equal(record.isSilent(5_000), true);
});

test("back from being left aside, one request at a time tries it", () => {
  // Story: a data centre is cut off for seconds. Each time one of its backend
  // servers has been left aside for long enough, all requests of the moment go
  // there again, and each of them loses the time of a connection.
  const record = new BackendRecord();
  record.leaveAside(0);
  assert.equal(record.isPromising(400), false);
  assert.equal(record.isPromising(600), true);
  record.noteSend(600);
  record.inFlight = 1;
  assert.equal(record.isPromising(610), false, "one is trying it already");
  record.leaveAside(750);
  record.inFlight = 0;
  assert.equal(record.isPromising(1_700), false, "aside for twice as long");
  assert.equal(record.isPromising(1_800), true);
  record.inFlight = 1;
  record.noteSend(1_800);
  record.noteHeard(1_810);
  record.endTrial();
  assert.equal(record.isPromising(1_820), true);
});

test("what was sent while a report was on its way is counted besides", () => {
  // Pattern: an agent's look at its engine reaches a gateway 60 ms later; at
  // the peak the gateway has sent that engine another request meanwhile.
  const record = new BackendRecord();
  record.noteSend(0);
  record.inFlight = 1;
  record.noteSend(950);
  record.inFlight = 2;
  record.takeReport({ running: 9, waiting: 0, slots: 16 }, 1_000, 60);
  assert.equal(record.estimateRequests(1_000), 10);
  record.takeReport({ running: 9, waiting: 0, slots: 16 }, 1_100, 60);
  assert.equal(record.estimateRequests(1_100), 9);
});
