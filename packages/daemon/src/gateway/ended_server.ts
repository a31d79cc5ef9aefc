import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import type { AdmittedCall } from "./admitted_call.ts";

/** A request that was under way where a backend server ended. */
type Interrupted = {
  call: AdmittedCall;
  fingerprint: string;
  /** From the beginning of its answer to the end; undefined without one. */
  begunMilliseconds: number | undefined;
};

/** The end of one start of a backend server, with what it had of this host. */
export type EndedServer = {
  standing: BackendStanding;
  interrupted: Interrupted[];
};
