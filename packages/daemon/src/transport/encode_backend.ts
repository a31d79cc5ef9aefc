import { create } from "@bufbuild/protobuf";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { Backend } from "@teaselrouter/messages/follow.ts";
import { BackendSchema, BackendState } from "@teaselrouter/messages/follow.ts";

const MESSAGE_STATES = {
  ready: BackendState.READY,
  leaving: BackendState.LEAVING,
  gone: BackendState.GONE,
} as const;

/** Encodes a backend server's status for another process. */
export function encodeBackend(announcement: BackendAnnouncement): Backend {
  return create(BackendSchema, {
    ...announcement,
    state: MESSAGE_STATES[announcement.state],
  });
}
