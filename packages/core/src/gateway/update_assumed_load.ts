import type { BackendCandidate } from "./backend_candidate.ts";

/**
 * A backend server without a recent load report is assumed to be slightly less
 * loaded than the others. It then gets an occasional request, whose response
 * reports its load. If assumed equally loaded, it would never get one, and a
 * host that has reports only from full engines would refuse requests that other
 * engines have room for.
 */
const NO_REPORT_LOAD_FACTOR = 0.9;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Updates the assumptions in the records of a service's backend servers: the
 * load to assume for one without a recent report, from the mean load of all,
 * weighted by the freshness of their reports; and the mean pending prompt
 * tokens and the share of timely requests without a response among this host's
 * in-flight requests; and the mean slowdown of those that report one.
 *
 * This host learns an engine's load from the responses to its own requests, and
 * from the engine's stager, which reports only changes. An engine that got no
 * requests from this host for a second, because others looked less loaded, may
 * thus have no recent report. If assumed empty, it would get the next requests
 * of every host, behind all requests that other hosts have already sent to it.
 * One with a limit has at most those that all hosts together may send within
 * the time of a response, and would get none if assumed busier.
 */
export function updateAssumedLoad(
  candidates: BackendCandidate[],
  now: number,
): void {
  const sums = {
    weightedSlots: 0,
    weightedRequests: 0,
    inFlight: 0,
    pendingTokens: 0,
    timely: 0,
    paced: 0,
    slowdown: 0,
    holds: 0,
    weightedHold: 0,
  };
  for (const { announcement, record } of candidates) {
    const freshness = record.reportFreshness(now);
    sums.weightedSlots += freshness * announcement.slots;
    sums.weightedRequests += freshness * record.reportedRequests;
    sums.inFlight += record.inFlight;
    sums.pendingTokens += record.pendingPromptTokens;
    sums.timely += record.timelyUnanswered;
    if (record.measuredHoldMilliseconds !== undefined) {
      sums.holds += freshness;
      sums.weightedHold += freshness * record.measuredHoldMilliseconds;
    }
    const { lasting } = record.pace;
    if (lasting === undefined) continue;
    sums.paced += 1;
    sums.slowdown += lasting;
  }
  const utilization = sums.weightedSlots === 0
    ? 0
    : sums.weightedRequests / sums.weightedSlots;
  const serviceMean = sums.paced === 0 ? undefined : sums.slowdown / sums.paced;
  const requests = Math.max(1, sums.inFlight);
  const holdMilliseconds = sums.holds === 0
    ? Infinity
    : sums.weightedHold / sums.holds;
  for (const { announcement, record, limitPerSecond } of candidates) {
    const usual = NO_REPORT_LOAD_FACTOR * utilization * announcement.slots;
    record.assumedRequests = limitPerSecond === undefined ? usual : Math.min(
      usual,
      limitPerSecond * holdMilliseconds / MILLISECONDS_PER_SECOND,
    );
    record.meanPendingPromptTokens = sums.pendingTokens / requests;
    record.pace.serviceMean = serviceMean;
    record.timelyUnansweredShare = sums.timely / requests;
  }
}
