import type { AnswerVisibility } from "./answer_visibility.ts";
import { SURVIVAL_NEWS_MILLISECONDS } from "./survival_news_milliseconds.ts";
import type { Suspect } from "./suspect.ts";

/** Until an answer has begun on what a common part is in. */
const NEXT_ANSWER_MILLISECONDS = 1_200;

type Options = {
  /** Absent at a host that judges by its own answers alone. */
  answers: AnswerVisibility | undefined;
  /** Monotonic milliseconds. */
  now: number;
};

/**
 * Whether a part must be blamed for its crashes whatever stands beside it: they
 * are many, and no answer that began on it since has survived in the time in
 * which one would have. This bounds what crowds at one moment, answers in
 * flight, other crashes and absent hosts can hold back. Load pattern: requests
 * with a harmful part come many at once, or half of the gateways are away.
 */
export function isOverdue(
  { evidence }: Suspect,
  { answers, now }: Options,
): boolean {
  const { manySince, survivalThresholds: { running } } = evidence;
  if (manySince === Infinity) return false;
  const seen = now - manySince;
  const { untilNow, untilHeard } = answers?.measure(manySince, now) ??
    { untilNow: seen, untilHeard: seen };
  return untilNow >= running + NEXT_ANSWER_MILLISECONDS &&
    untilHeard >= running + SURVIVAL_NEWS_MILLISECONDS;
}
