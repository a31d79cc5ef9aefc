import { create } from "@bufbuild/protobuf";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import type { Backend } from "@teaselrouter/messages/follow.ts";
import { BackendSchema, BackendState } from "@teaselrouter/messages/follow.ts";

const STATES = {
  ready: BackendState.READY,
  leaving: BackendState.LEAVING,
  gone: BackendState.GONE,
} as const;

/** Writes a standing for the way between processes. */
export function encodeBackend(standing: BackendStanding): Backend {
  return create(BackendSchema, {
    ...standing,
    state: STATES[standing.state],
  });
}
