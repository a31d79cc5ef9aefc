import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import { SURVIVAL_NEWS_MILLISECONDS } from "./survival_news_milliseconds.ts";
import type { Suspect } from "./suspect.ts";

/**
 * Share of crashes that a part explains, below which more of them are needed: a
 * common part is a bystander at many.
 */
const CLEAR_SHARE = 0.75;

type Options = {
  /** Crashes since the suspect's first that no blame explains. */
  unexplainedCrashes: number;
  /** Since when most answers are watched, monotonic milliseconds. */
  coveredSince: number;
  /** Monotonic milliseconds. */
  now: number;
};

/**
 * What holds a suspect's blame back: too few crashes, answers or crashes beside
 * it, or that nobody would have told yet of an answer that survives.
 */
type Hold = "few-crashes" | "crowded" | "unwatched";

/**
 * Why the crashes are not enough to blame a suspect; undefined if they are.
 *
 * For a part, more crashes are needed
 * - the more of its answers had been running for long at each crash, as these
 *   did not crash the backend server;
 * - the more other crashes are left unexplained.
 *
 * A part is also given the time in which an answer that started after its first
 * crash would have survived and been reported, counted from when answers are
 * watched: the proof of a crash may take seconds, and hosts that see answers may
 * be away. Without it, a part of all traffic looks as guilty as the culprit while
 * servers crash faster than answers survive.
 * `isOverdue` bounds how long any of this holds a blame back.
 */
export function findHold(
  { evidence }: Suspect,
  { unexplainedCrashes, coveredSince, now }: Options,
): Hold | undefined {
  const { kind, weight } = evidence;
  if (weight < CRASHES_TO_BLAME) return "few-crashes";
  if (kind === "request") return undefined;
  const share = evidence.summedWeight / unexplainedCrashes;
  const doubt = Math.max(1, CLEAR_SHARE / share);
  const needed = CRASHES_TO_BLAME * evidence.meanDistinctAnswers * doubt;
  if (weight < needed) return "crowded";
  const { running } = evidence.survivalThresholds;
  const watchedFor = now - Math.max(evidence.watchedSince, coveredSince);
  const isWatched = watchedFor >= running + SURVIVAL_NEWS_MILLISECONDS;
  return isWatched ? undefined : "unwatched";
}
