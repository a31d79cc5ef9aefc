import assert from "node:assert/strict";
import { test } from "node:test";
import { BackendRecord } from "./backend_record.ts";

test("a load report is adjusted for requests sent and ended since", () => {
  const record = new BackendRecord();
  record.inFlight = 2;
  record.recordReport({ running: 6, waiting: 1, slots: 6 }, 0);
  assert.equal(record.estimateRequests(10), 7);
  record.inFlight = 5;
  assert.equal(record.estimateRequests(10), 10);
  record.inFlight = 0;
  assert.equal(record.estimateRequests(10), 5);
  assert.equal(record.estimateRequests(5_000), 0);
});

test("a backend server that fails half its requests is ejected, then tried", () => {
  // A backend server passes its health check but fails half of the requests.
  // After a few of them it must be ejected, for a time that grows while it
  // keeps failing.
  const record = new BackendRecord();
  let now = 0;
  const failUntilEjected = () => {
    let failures = 0;
    while (!record.isEjected(now)) {
      record.recordSuccess();
      record.recordFailure(now);
      failures += 1;
      assert.ok(failures < 20);
    }
    return failures;
  };
  failUntilEjected();
  assert.equal(record.isEjected(now + 499), true);
  now += 500;
  assert.equal(record.isEjected(now), false);
  failUntilEjected();
  assert.equal(record.isEjected(now + 999), true);
});

test("a backend server without data while responses are due is silent", () => {
  // A backend server's host freezes. Its keep-alive connections stay open and
  // accept requests, and no error occurs until each client has given up.
  const record = new BackendRecord();
  assert.equal(record.isSilent(10_000), false, "nothing is due");
  record.recordSend(10_000);
  record.inFlight = 1;
  assert.equal(record.isSilent(10_600), false);
  record.recordDataReceived(10_650);
  assert.equal(record.isSilent(11_300), false);
  assert.equal(record.isSilent(11_400), true);
  record.recordSend(11_400);
  record.inFlight = 2;
  assert.equal(record.isSilent(11_400), true, "a send says nothing of it");
  record.inFlight = 0;
  assert.equal(record.isSilent(11_500), false, "it may be tried again");
});

test("a slow service does not count as silent", () => {
  const record = new BackendRecord();
  for (let answer = 0; answer < 30; answer += 1) {
    record.recordResponseTime(1_000);
  }
  record.recordSend(0);
  record.inFlight = 1;
  assert.equal(record.isSilent(2_000), false);
  assert.equal(record.isSilent(5_000), true);
});

test("after an ejection a backend server gets one request at a time", () => {
  // A data centre is disconnected for seconds. Whenever the ejection of one of
  // its backend servers ended, all current requests were sent there again, and
  // each lost the time of a failing connection attempt.
  const record = new BackendRecord();
  record.eject(0);
  assert.equal(record.isAvailable(400), false);
  assert.equal(record.isAvailable(600), true);
  record.recordSend(600);
  record.inFlight = 1;
  assert.equal(record.isAvailable(610), false, "one is trying it already");
  record.eject(750);
  record.inFlight = 0;
  assert.equal(record.isAvailable(1_700), false, "aside for twice as long");
  assert.equal(record.isAvailable(1_800), true);
  record.inFlight = 1;
  record.recordSend(1_800);
  record.recordDataReceived(1_810);
  record.endHalfOpen();
  assert.equal(record.isAvailable(1_820), true);
});

test("requests sent while a load report was in transit are added to it", () => {
  // A stager's load report on its engine reaches a gateway after 60 ms. At the
  // peak the gateway has sent that engine another request in the meantime.
  const record = new BackendRecord();
  record.recordSend(0);
  record.inFlight = 1;
  record.recordSend(950);
  record.inFlight = 2;
  record.recordReport({ running: 9, waiting: 0, slots: 16 }, 1_000, 60);
  assert.equal(record.estimateRequests(1_000), 10);
  record.recordReport({ running: 9, waiting: 0, slots: 16 }, 1_100, 60);
  assert.equal(record.estimateRequests(1_100), 9);
});

// Guards against new requests for a silent backend server once nothing is in
// flight there, and against a sound one that stays ejected after it goes on.
test("an ejection for silence ends as soon as the backend server is heard", () => {
  const record = new BackendRecord();
  record.beginRequest(0);
  assert.equal(record.isAvailable(800), false);
  record.ejectForSilence(800);
  record.inFlight = 0;
  assert.equal(record.isAvailable(900), false);
  record.inFlight = 3;
  record.recordDataReceived(1_000);
  assert.equal(record.isAvailable(1_000), true);
  record.eject(1_100);
  record.recordDataReceived(1_200);
  assert.equal(record.isAvailable(1_200), false, "ejected for failures");
});

// Guards against a sound server that looks silent because a client reads slowly,
// and against one that is silent to others meanwhile and isn't noticed.
test("an answer that this host doesn't read is no silence", () => {
  const record = new BackendRecord();
  record.beginRequest(0);
  record.recordDataReceived(100);
  record.pauseReading();
  assert.equal(record.isSilent(5_000), false);
  record.beginRequest(5_000);
  assert.equal(record.isSilent(5_600), false);
  assert.equal(record.isSilent(5_800), true);
  record.inFlight -= 1;
  assert.equal(record.isSilent(6_000), false);
  record.resumeReading(7_000);
  assert.equal(record.isSilent(7_600), false);
  assert.equal(record.isSilent(7_800), true);
});

// Guards against hosts that all send to the server that last told few requests.
test("a told load goes back to its mean as the report ages, own requests don't", () => {
  const record = new BackendRecord();
  for (let now = 0; now <= 20_000; now += 250) {
    record.recordReport({ running: 12, waiting: 0, slots: 12 }, now);
  }
  record.recordReport({ running: 4, waiting: 0, slots: 12 }, 20_250);
  assert.equal(record.estimateRevertedRequests(20_250), 4);
  const afterwards = record.estimateRevertedRequests(20_500);
  assert.ok(afterwards > 8 && afterwards < 12, String(afterwards));
  assert.equal(record.estimateRequests(20_500), 4);
  record.beginRequest(20_500);
  assert.equal(record.estimateRevertedRequests(20_500), afterwards + 1);
});

// Guards against a server that has told nothing and is taken to be empty.
test("a server without a report has the assumed load in either estimate", () => {
  const record = new BackendRecord();
  record.assumedRequests = 7;
  assert.equal(record.estimateRevertedRequests(1_000), 7);
  assert.equal(record.estimateRequests(1_000), 7);
});
