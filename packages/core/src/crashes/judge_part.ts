import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import { estimateBystanderLikelihood } from "./estimate_bystander_likelihood.ts";
import { estimateYouthLikelihood } from "./estimate_youth_likelihood.ts";
import type { CrashEvidence } from "./crash_evidence.ts";
import type { GoodEndTotals } from "./good_end_totals.ts";
import type { PartVerdict } from "./part_verdict.ts";

/** Of some hundred parts that stand at several crashes, few are blamed in vain. */
const MAX_LIKELIHOOD = 1e-5;
/** Until then ages say nothing: all may be young. */
const MAX_LIKELIHOOD_BY_ANSWERS = 0.1;
/** From so many crashes on a decision has a bound. */
const MANY_CRASHES = 5;
/** Of three seconds in which hosts have to be told as well. */
const MANY_FOR_MILLISECONDS = 2_000;
/** Then, for a part that was at most of all crashes. */
const MAX_LIKELIHOOD_AT_MOST = 1e-3;
/** Then, for one that was at fewer: by chance many are. */
const MAX_LIKELIHOOD_AT_SOME = 2e-4;
const MOST_SHARE = 0.75;
/** Answers last about twice as long as they have lasted at any moment. */
const LENGTH_BY_AGE = 2;

type Circumstances = {
  evidence: CrashEvidence;
  /** All crashes since the part's first, and the requests in flight there. */
  since: { crashes: number; requests: number };
  /** Good ends without the part since its latest one. */
  goodEnds: GoodEndTotals;
  /** Answers without the part that run well since the latest one with it. */
  running: GoodEndTotals;
  /** Monotonic milliseconds. */
  now: number;
};

/**
 * Judges whether a prompt part crashes what runs it: of the runs on a harmful part
 * none comes to a good end, whenever the crash comes and whatever of the answer has
 * come before. A decision needs three crashes, and more good ends without the part
 * than a harmless one would let pass. Where no harmful run gets as far as an answer
 * that runs well, these decide sooner; and the runs of a harmful part are mostly
 * young among all in flight. Load pattern: requests that share a part crash server
 * after server, among hundreds that share others.
 */
export function judgePart(
  circumstances: Circumstances,
): PartVerdict {
  const { evidence, since, goodEnds, running, now } = circumstances;
  const crashes = evidence.incarnations.length;
  const isOneMoment = crashes < MANY_CRASHES && evidence.moments === 1;
  if (crashes < CRASHES_TO_BLAME || isOneMoment) {
    return { isGuilty: false, likelihood: 1 };
  }
  const estimate = (answers: GoodEndTotals) =>
    estimateBystanderLikelihood({
      crashes,
      allCrashes: Math.max(crashes, since.crashes),
      goodGroups: countGroups(answers, circumstances),
    });
  const byAnswers = Math.min(estimate(goodEnds), estimate(running));
  const likelihood = byAnswers <= MAX_LIKELIHOOD_BY_ANSWERS
    ? byAnswers * estimateYouthLikelihood(evidence.agePositions)
    : byAnswers;
  const manyAt = evidence.crashAt(MANY_CRASHES) ?? Infinity;
  const isLate = now - manyAt >= MANY_FOR_MILLISECONDS;
  const mostOfMany = crashes >= MOST_SHARE * since.crashes
    ? MAX_LIKELIHOOD_AT_MOST
    : MAX_LIKELIHOOD_AT_SOME;
  const most = isLate ? mostOfMany : MAX_LIKELIHOOD;
  return { isGuilty: likelihood <= most, likelihood };
}

/**
 * Answers in groups of as many runs as a crash breaks off. Longer runs are in
 * flight at more crashes for each answer.
 */
function countGroups(
  { count }: GoodEndTotals,
  { evidence, since, goodEnds }: Circumstances,
): number {
  if (count === 0) return 0;
  const runsPerCrash = Math.max(1, since.requests / Math.max(1, since.crashes));
  const usual = goodEnds.runMilliseconds / Math.max(1, goodEnds.count);
  const length = LENGTH_BY_AGE * evidence.meanMillisecondsFromSending;
  const share = usual === 0 ? 1 : Math.min(1, usual / length);
  return count * share / runsPerCrash;
}
