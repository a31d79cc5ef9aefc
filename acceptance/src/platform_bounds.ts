/** Bounds of the platform's rules, as its settings files give them. */
export type PlatformBounds = {
  retryBudgetRatio: number;
  budgetWindowS: number;
  retryBudgetSlack: number;
  contactMs: number;
};
