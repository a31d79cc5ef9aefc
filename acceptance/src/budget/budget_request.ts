/** A request as its client sent it. */
export type BudgetRequest = {
  id: string;
  kind: "stream" | "safe" | "unsafe";
  service: string;
  gateway: string;
  sentAt: number;
  deadlineMilliseconds: number;
};
