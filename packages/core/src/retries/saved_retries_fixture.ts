import { RetryBudgets } from "./retry_budgets.ts";

const SAVING_MILLISECONDS = 20_000;
const WINDOW_MILLISECONDS = 60_000;
const SLACK_WINDOWS = 2;
const STEPS = 100;

/** Budgets of a host that has run for a while, for tests. */
export function createSavedRetries(
  { retries, ratio, now }: {
    /** Saved for each service. */
    retries: number;
    ratio: number;
    now: number;
  },
): RetryBudgets {
  const startedAt = now - SAVING_MILLISECONDS;
  const earnedSlack = SLACK_WINDOWS * WINDOW_MILLISECONDS / SAVING_MILLISECONDS;
  const budgets = new RetryBudgets({
    bound: {
      ratio,
      // A part of the next retry makes up for rounding.
      slack: (retries + 0.1) * earnedSlack,
      windowMilliseconds: WINDOW_MILLISECONDS,
    },
    countHosts: () => 1,
    now: startedAt,
  });
  for (let step = 1; step <= STEPS; step += 1) {
    budgets.observe(startedAt + step * SAVING_MILLISECONDS / STEPS);
  }
  return budgets;
}
