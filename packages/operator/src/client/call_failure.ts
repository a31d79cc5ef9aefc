/** Why a call to an entry host did not succeed. */
export type CallFailure = {
  kind: "refused" | "usage" | "unknown";
  message: string;
  /** Current state that the refused change would have replaced, if any. */
  stands?: unknown;
};
