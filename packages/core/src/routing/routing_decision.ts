import type { BackendServerRow } from "./backend_server_row.ts";

/** Where a call goes, or why it goes nowhere. */
export type RoutingDecision =
  | { kind: "send"; to: BackendServerRow }
  | {
    kind: "refuse";
    reason: "no-backend-server" | "no-complete-model" | "overloaded";
    retryAfterMilliseconds: number;
  };
