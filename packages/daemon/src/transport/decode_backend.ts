import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { type Backend, BackendState } from "@teaselrouter/messages/follow.ts";

/** Decodes a backend server's status as another process forwarded it. */
export function decodeBackend(backend: Backend): BackendAnnouncement {
  return {
    instance: backend.instance,
    service: backend.service,
    address: backend.address,
    dataCentre: backend.dataCentre,
    slots: backend.slots,
    state: decodeState(backend.state),
    bornAt: backend.bornAt,
    sequence: backend.sequence,
    coldMilliseconds: backend.coldMilliseconds,
    models: backend.models.map(({ name, version }) => ({ name, version })),
  };
}

function decodeState(state: BackendState): BackendAnnouncement["state"] {
  if (state === BackendState.READY) return "ready";
  return state === BackendState.LEAVING ? "leaving" : "gone";
}
