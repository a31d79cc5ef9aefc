import type { RoomFigures } from "@teaselrouter/core/room/room_figures.ts";

/** Log fields of a refusal for want of room. */
export function toRoomFields(figures: RoomFigures) {
  return {
    room_slots: round(figures.slots),
    room_kept: round(figures.keptSlots),
    room_slot_wait: Math.round(figures.slotWaitMilliseconds),
    workspace_asked: round(figures.workspaceAsked),
    workspace_used: round(figures.workspaceUsed),
    workspace_share: round(figures.workspaceShare),
    room_age_milliseconds: Math.round(figures.ageMilliseconds),
  };
}

/** Rounds to tenths. */
function round(value: number | undefined): number | undefined {
  return value && Math.round(10 * value) / 10;
}
