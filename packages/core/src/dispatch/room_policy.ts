import type { LoadEstimate } from "../gateway/load_estimate.ts";
import type { RoomUse } from "../room/room_use.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { Room } from "./room.ts";
import type { RoomSend } from "./room_send.ts";
import type { RoomVerdict } from "./room_verdict.ts";

/** Decides whose the room at a service's backend servers is. */
export interface RoomPolicy {
  /** How the loads of a service's backend servers are compared. */
  loadEstimate(service: string): LoadEstimate;
  /** Counts demand. Called once for each attempt of a client. */
  recordArrival(request: DispatchRequest): void;
  /**
   * Never refuses a request that was sent before or whose answer has begun: it
   * may have run.
   */
  decide(request: DispatchRequest, room: Room): RoomVerdict;
  /** Counts a send; undefined if nothing more is to be told of it. */
  countSend(send: RoomSend): RoomUse | undefined;
}
