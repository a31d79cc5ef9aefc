import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { findAnnouncementFault } from "@teaselrouter/core/membership/find_announcement_fault.ts";
import type { Backend } from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import { decodeBackend } from "./decode_backend.ts";

/**
 * Decodes what another process forwarded of backend servers, without entries
 * that can't be right: it may be of a version that checked less.
 */
export function decodeUsableBackends(
  backends: Backend[],
  log: EventLog,
): BackendAnnouncement[] {
  return backends.map(decodeBackend).filter((announcement) => {
    const fault = findAnnouncementFault(announcement);
    if (fault === undefined) return true;
    log.warn("unreadable", {
      what: `entry of ${announcement.instance}`,
      detail: `its ${fault} can't be right`,
    });
    return false;
  });
}
