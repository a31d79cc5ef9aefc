import { AnyPlaceRule } from "./any_place_rule.ts";
import { CountedFirstEventEstimate } from "./counted_first_event_estimate.ts";
import type { DispatchTerms } from "./dispatch_terms.ts";
import { OpenRoomPolicy } from "./open_room_policy.ts";
import { OpenSendGate } from "./open_send_gate.ts";

/** Terms for deployments that ask for nothing else. */
export function createDefaultTerms(): DispatchTerms {
  return {
    places: new AnyPlaceRule(),
    gate: new OpenSendGate(),
    firstEvent: new CountedFirstEventEstimate(),
    room: new OpenRoomPolicy(),
  };
}
