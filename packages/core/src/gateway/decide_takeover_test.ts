import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryPurse } from "../retries/retry_purse.ts";
import type { BackendCandidate } from "./backend_candidate.ts";
import { BackendRecord } from "./backend_record.ts";
import { decideTakeover } from "./decide_takeover.ts";

const SLOTS = 16;
const MAX_PLACES = SLOTS * 1.5;
const NOW = 10_000;

type Server = { requests: number; silentMilliseconds: number };

function buildCandidate({ requests, silentMilliseconds }: Server) {
  const record = new BackendRecord();
  for (let count = 0; count < requests; count += 1) {
    record.beginRequest(NOW - 5_000);
  }
  record.recordDataReceived(NOW - silentMilliseconds);
  return { record, announcement: { slots: SLOTS } } as BackendCandidate;
}

function buildRetries(count: number): RetryPurse {
  const retries = new RetryPurse(5_000);
  retries.earn(count, NOW);
  return retries;
}

function pickLeastBusy(
  candidates: BackendCandidate[],
): BackendCandidate | undefined {
  return candidates.toSorted((one, other) =>
    one.record.inFlight - other.record.inFlight
  )[0];
}

function decide(
  candidates: BackendCandidate[],
  retries: RetryPurse,
  request: { millisecondsLeft?: number; isRetryable?: boolean } = {},
) {
  return decideTakeover(
    {
      isRetryable: true,
      hasAttemptsLeft: true,
      millisecondsLeft: 5_000,
      listCandidates: () => candidates,
      choose: pickLeastBusy,
      ...request,
    },
    retries,
    NOW,
  );
}

// Guards against attempts that each count on a retry that only one of them can
// have: all others would be given up with nobody to take over.
test("of fifty attempts that decide at once with one retry left one is taken over", () => {
  const candidates = [buildCandidate({ requests: 0, silentMilliseconds: 0 })];
  const retries = buildRetries(1);
  const decisions = Array.from(
    { length: 50 },
    () => decide(candidates, retries),
  );
  const taken = decisions.filter(({ kind }) => kind === "take-over");
  assert.equal(taken.length, 1);
  assert.equal(candidates[0]!.record.inFlight, 1);
});

// Guards against takeovers by servers that are silent or full, against retries
// that are spent without a takeover, and against takeovers without a retry.
test("many attempts at silent servers share the retries and places there are", () => {
  const server = fc.record({
    requests: fc.nat(MAX_PLACES + 4),
    silentMilliseconds: fc.constantFrom(0, 300, 600, 800, 2_000),
  });
  const attempt = fc.record({
    millisecondsLeft: fc.constantFrom(0, 200, 400, 6_000),
    isRetryable: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.array(server, { maxLength: 8 }),
      fc.array(attempt, { maxLength: 60 }),
      fc.nat(12),
      (servers, attempts, retryCount) => {
        const candidates = servers.map(buildCandidate);
        const retries = buildRetries(retryCount);
        const before = candidates.map(({ record }) => record.inFlight);
        const wasSilent = candidates.map(({ record }) => record.isSilent(NOW));
        const decisions = attempts.map((request) =>
          decide(candidates, retries, request)
        );
        const taken = decisions.filter(({ kind }) => kind === "take-over");
        assert.equal(retries.left(NOW), retryCount - taken.length);
        candidates.forEach(({ record }, index) => {
          const added = record.inFlight - before[index]!;
          if (wasSilent[index]) assert.equal(added, 0);
          if (added > 0) assert.ok(record.inFlight <= MAX_PLACES);
        });
        decisions.forEach(({ kind }, index) => {
          const { isRetryable, millisecondsLeft } = attempts[index]!;
          const mayMove = isRetryable && millisecondsLeft >= 300;
          assert.ok(mayMove || kind === "keep");
        });
        const open =
          attempts.filter(({ isRetryable, millisecondsLeft }) =>
            isRetryable && millisecondsLeft >= 300
          ).length;
        const places = before
          .filter((_, index) => !wasSilent[index])
          .reduce((sum, count) => sum + Math.max(0, MAX_PLACES - count), 0);
        assert.equal(taken.length, Math.min(open, retryCount, places));
      },
    ),
    { numRuns: 300 },
  );
});

// Guards against streams of a frozen server that wait for a place while new
// requests are sent to the others.
test("a server with few slots takes over what could wait there if it were new", () => {
  const build = (requests: number) => {
    const { record } = buildCandidate({ requests, silentMilliseconds: 0 });
    return { record, announcement: { slots: 4 } } as BackendCandidate;
  };
  assert.equal(decide([build(11)], buildRetries(1)).kind, "take-over");
  assert.equal(decide([build(12)], buildRetries(1)).kind, "keep");
});

test("an attempt is kept for a reason that says what was missing", () => {
  const idle = buildCandidate({ requests: 0, silentMilliseconds: 0 });
  const silent = buildCandidate({ requests: 1, silentMilliseconds: 900 });
  const full = buildCandidate({ requests: 24, silentMilliseconds: 0 });
  const some = buildRetries(2);
  const reasons = [
    decide([idle], buildRetries(0)),
    decide([silent], some),
    decide([silent, full], some),
    decide([idle], some, { millisecondsLeft: 100 }),
    decide([idle], some, { isRetryable: false }),
  ].map((decision) => decision.kind === "keep" && decision.reason);
  assert.deepEqual(reasons, [
    "no-retry-left",
    "no-server-heard",
    "no-place",
    "no-time-left",
    "not-retryable",
  ]);
  assert.equal(some.left(NOW), 2);
});
