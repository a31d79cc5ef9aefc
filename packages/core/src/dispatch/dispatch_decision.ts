import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import type { Placement } from "../gateway/placement.ts";
import type { RoomFigures } from "../room/room_figures.ts";
import type { RefusalReason } from "./refusal_reason.ts";

/** What happens to a request now. */
export type DispatchDecision =
  | { kind: "send"; candidate: BackendCandidate; placement: Placement }
  /** No backend server is eligible, or their own limits are used up. */
  | { kind: "no-server" }
  | {
    kind: "refuse";
    reason: RefusalReason;
    /**
     * When room is expected for it, milliseconds from now; undefined if the
     * usual delay for the reason applies.
     */
    retryAfterMilliseconds: number | undefined;
    /** Undefined if it was refused before a backend server was weighed. */
    placement: Placement | undefined;
    /** Where room was divided. */
    figures?: RoomFigures;
  };
