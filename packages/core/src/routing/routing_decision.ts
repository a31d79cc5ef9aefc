import type { BackendServerRow } from "./backend_server_row.ts";

/** The backend server for a call, or the reason to refuse the call. */
export type RoutingDecision =
  | { kind: "send"; to: BackendServerRow }
  | {
    kind: "refuse";
    reason: "no-backend-server" | "no-complete-model" | "overloaded";
    retryAfterMilliseconds: number;
  };
