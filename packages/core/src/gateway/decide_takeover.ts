import type { RetryPurse } from "../retries/retry_purse.ts";
import type { BackendCandidate } from "./backend_candidate.ts";
import type { TakeoverDecision } from "./takeover_decision.ts";

type Request = {
  /** Whether it may run again, as far as its answer has come. */
  isRetryable: boolean;
  /** Whether it may be sent to one more backend server. */
  hasAttemptsLeft: boolean;
  millisecondsLeft: number;
  /** Backend servers that may get it, silent and full ones included. */
  listCandidates: () => BackendCandidate[];
  /** Best of the candidates given; undefined if their limits are used up. */
  choose: (candidates: BackendCandidate[]) => BackendCandidate | undefined;
};

/** A connection and the head of an answer take about a third of this time. */
const MIN_MILLISECONDS_LEFT = 300;
/** Requests that may wait at the server that takes over, relative to its slots. */
const MAX_WAITING_SHARE = 0.5;
/**
 * Requests that may wait there at least: as many as late new ones may. With a
 * smaller number those would take each place that becomes free, ahead of the
 * streams of a frozen server.
 */
const MIN_WAITING_REQUESTS = 8;

/**
 * Decides whether another backend server takes over a request whose own has
 * fallen silent, and takes all that this needs: the retry, and a place at a
 * backend server that is not silent itself. Where one of them is missing,
 * nothing is taken, and the attempt stays open: a sound backend server goes on
 * after a second or two, and what it then sends still arrives.
 *
 * When a backend server with many streams falls silent, the decisions about all
 * of them are made in the same moment. Each must see what the others took: a
 * retry that is only looked at would be counted on by all of them.
 */
export function decideTakeover(
  request: Request,
  retries: RetryPurse,
  now: number,
): TakeoverDecision {
  if (!request.isRetryable) return keep("not-retryable");
  if (!request.hasAttemptsLeft) return keep("no-attempt-left");
  if (request.millisecondsLeft < MIN_MILLISECONDS_LEFT) {
    return keep("no-time-left");
  }
  if (!retries.hasRetry(now)) return keep("no-retry-left");
  const candidates = request.listCandidates();
  const available = candidates.filter(({ record }) => record.isAvailable(now));
  if (available.length === 0) return keep("no-server-heard");
  const target = request.choose(
    available.filter((candidate) => hasPlace(candidate, now)),
  );
  if (target === undefined) return keep("no-place");
  retries.trySpend(now);
  target.record.beginRequest(now);
  return { kind: "take-over", target };
}

function keep(
  reason: Extract<TakeoverDecision, { kind: "keep" }>["reason"],
): TakeoverDecision {
  return { kind: "keep", reason };
}

function hasPlace(
  { announcement, record }: BackendCandidate,
  now: number,
): boolean {
  const slots = Math.max(1, announcement.slots);
  const waiting = record.estimateRequests(now) - slots;
  return waiting < Math.max(MIN_WAITING_REQUESTS, slots * MAX_WAITING_SHARE);
}
