import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { AdmittedCall } from "./admitted_call.ts";

/** A request that was in flight at a backend server when that one ended. */
type Interrupted = {
  call: AdmittedCall;
  fingerprint: string;
  /**
   * From the beginning of the request's answer to the end of the backend
   * server; undefined if no answer had begun.
   */
  begunMilliseconds: number | undefined;
};

/**
 * The end of one incarnation of a backend server, with this host's requests
 * that were in flight there.
 */
export type EndedServer = {
  announcement: BackendAnnouncement;
  interrupted: Interrupted[];
};
