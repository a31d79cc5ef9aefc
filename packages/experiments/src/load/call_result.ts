/** How one call of the load driver ended. */
export type CallResult =
  | { kind: "whole"; version: string; milliseconds: number }
  | { kind: "refused"; reason: string; outcome: string; milliseconds: number }
  | { kind: "wrong"; detail: string }
  | { kind: "cut"; detail: string }
  /** No connection was had: nothing was sent. */
  | { kind: "unreached" };
