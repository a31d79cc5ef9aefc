import type { PlatformBounds } from "./platform_bounds.ts";

/** Bounds of a deployment of the usual size. */
export const USUAL_BOUNDS: PlatformBounds = {
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 102,
  contactMs: 3_000,
};
