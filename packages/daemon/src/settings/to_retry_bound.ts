import type { RetryBound } from "@teaselrouter/core/retries/retry_bound.ts";
import type { Settings } from "./settings.ts";

const MILLISECONDS_PER_SECOND = 1_000;

type RetryBudget = NonNullable<Settings["gateway"]>["retry_budget"];

/** Bound on retries that the settings of a role give. */
export function toRetryBound(
  { ratio, slack, window_seconds }: RetryBudget,
): RetryBound {
  const windowMilliseconds = window_seconds * MILLISECONDS_PER_SECOND;
  return { ratio, slack, windowMilliseconds };
}
