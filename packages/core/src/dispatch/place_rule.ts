import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { PlacedRequest } from "./placed_request.ts";

/** Where requests may be served. */
export interface PlaceRule {
  /**
   * Whether a backend server may get a request. Asked for each send, takeovers
   * included.
   */
  allows(announcement: BackendAnnouncement, request: PlacedRequest): boolean;
}
