import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import { type Backend, BackendState } from "@teaselrouter/messages/follow.ts";

/** Reads a standing that another process passed on. */
export function decodeBackend(backend: Backend): BackendStanding {
  return {
    instance: backend.instance,
    service: backend.service,
    address: backend.address,
    dataCentre: backend.dataCentre,
    slots: backend.slots,
    state: stateOf(backend.state),
    bornAt: backend.bornAt,
    sequence: backend.sequence,
    coldMilliseconds: backend.coldMilliseconds,
    models: backend.models.map(({ name, version }) => ({ name, version })),
  };
}

function stateOf(state: BackendState): BackendStanding["state"] {
  if (state === BackendState.READY) return "ready";
  return state === BackendState.LEAVING ? "leaving" : "gone";
}
