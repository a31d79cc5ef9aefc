import type { ServiceRoom } from "@teaselrouter/core/room/service_room.ts";
import type { ProcessMetrics } from "./process_metrics.ts";

/** Workspaces reported for each urgency of a service. */
const MAX_WORKSPACES = 10;

/** Sets the gauges of the room at contested services. */
export function reportRoom(
  metrics: ProcessMetrics,
  rooms: ReadonlyMap<string, ServiceRoom>,
  now: number,
): void {
  // A workspace that is no longer among the largest is reported no more.
  metrics.workspaceAsked.reset();
  metrics.workspaceShare.reset();
  for (const [service, room] of rooms) {
    metrics.roomSlots.set({ service }, room.slots.slots);
    for (const urgency of room.listUrgencies()) {
      const labels = { service, urgency: String(urgency) };
      metrics.roomKept.set(labels, room.slotsKeptFor(urgency, now));
      const largest = room.of(urgency).shares.listLargest(MAX_WORKSPACES, now);
      for (const { workspace, asked, share } of largest) {
        metrics.workspaceAsked.set({ ...labels, workspace }, asked);
        metrics.workspaceShare.set({ ...labels, workspace }, share);
      }
    }
  }
}
