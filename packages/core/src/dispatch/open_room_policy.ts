import type { LoadEstimate } from "../gateway/load_estimate.ts";
import { ReportedLoadEstimate } from "../gateway/reported_load_estimate.ts";
import type { Room } from "./room.ts";
import type { RoomPolicy } from "./room_policy.ts";
import type { RoomVerdict } from "./room_verdict.ts";
import type { DispatchRequest } from "./dispatch_request.ts";

/** Keeps no room: whoever comes first gets it. */
export class OpenRoomPolicy implements RoomPolicy {
  #load = new ReportedLoadEstimate();

  loadEstimate(): LoadEstimate {
    return this.#load;
  }

  recordArrival(): void {}

  decide(_request: DispatchRequest, { placement }: Room): RoomVerdict {
    if (placement.kind !== "refused") return { kind: "admit", placement };
    return {
      kind: "refuse",
      reason: "no-room",
      retryAfterMilliseconds: undefined,
      placement,
    };
  }

  countSend(): undefined {}
}
