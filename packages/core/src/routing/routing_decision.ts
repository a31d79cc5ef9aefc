import type { BackendServerRow } from "./backend_server_row.ts";

/**
 * The backend server for a call, or the reason to refuse the call:
 * - "no-backend-server": none is live, not drained and outside of evacuated data
 *   centres, or all usable ones are ejected, and no silent one can take it
 *   either;
 * - "no-complete-model": some are live, but each does not accept calls now, was
 *   already tried for this call, or has no complete version of the weights;
 * - "paused": of those that could take it later, some have asked for no calls
 *   for a while;
 * - "overloaded": each would keep the call waiting for more than half of its
 *   deadline.
 */
export type RoutingDecision =
  | { kind: "send"; to: BackendServerRow }
  | {
    kind: "refuse";
    reason:
      | "no-backend-server"
      | "no-complete-model"
      | "paused"
      | "overloaded";
    retryAfterMilliseconds: number;
  };
