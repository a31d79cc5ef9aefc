import type { FirstEventEstimate } from "./first_event_estimate.ts";
import type { PlaceRule } from "./place_rule.ts";
import type { RoomPolicy } from "./room_policy.ts";
import type { SendGate } from "./send_gate.ts";

/** What the decision on a request weighs, each with a default. */
export type DispatchTerms = {
  places: PlaceRule;
  gate: SendGate;
  firstEvent: FirstEventEstimate;
  room: RoomPolicy;
};
