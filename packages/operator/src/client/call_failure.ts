/** Why an entry host did not do what was asked. */
export type CallFailure = {
  kind: "refused" | "usage" | "unknown";
  message: string;
  /** What stands instead, where something does. */
  stands?: unknown;
};
