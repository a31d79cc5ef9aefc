import type { Placement } from "../gateway/placement.ts";
import type { DispatchDecision } from "./dispatch_decision.ts";

/** Whether the room that is left is a request's, or what happens to it. */
export type RoomVerdict =
  | { kind: "admit"; placement: Placement }
  | Extract<DispatchDecision, { kind: "refuse" }>;
