import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import type { Placement } from "../gateway/placement.ts";

/** What a policy weighs besides the request itself. */
export type Room = {
  /** Best backend server for the request. */
  candidate: BackendCandidate;
  /** Whether it would be timely, late or refused there, by its arrival. */
  placement: Placement;
  /** All backend servers that may get it. */
  usable: readonly BackendCandidate[];
};
