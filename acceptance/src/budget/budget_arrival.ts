/** A request that a backend server read, whatever came of it. */
export type BudgetArrival = {
  id: string;
  service: string;
  instance: string;
  at: number;
  deadlineMilliseconds: number | undefined;
};
