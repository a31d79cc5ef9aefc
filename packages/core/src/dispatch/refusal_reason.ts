/**
 * Why a request is refused.
 * - "no-retry-left": it failed and may not be sent again.
 * - "no-allowed-place": no server of its service is in a region that its route
 *   and its workspace allow.
 * - "no-room": all slots are in use, and it would be late.
 * - "room-kept": the room left is kept for more urgent requests.
 * - "share-used": its workspace uses its share of room that is short.
 */
export type RefusalReason =
  | "no-retry-left"
  | "no-allowed-place"
  | "no-room"
  | "room-kept"
  | "share-used";
