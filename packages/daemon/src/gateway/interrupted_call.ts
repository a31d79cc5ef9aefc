import type { AdmittedCall } from "./admitted_call.ts";

/**
 * A request that was in flight at a backend server when that one ended, or that
 * this host had given up shortly before.
 */
export type InterruptedCall = {
  call: Pick<AdmittedCall, "id"> & {
    metadata: Pick<AdmittedCall["metadata"], "sharedParts">;
  };
  fingerprint: string;
  /**
   * Milliseconds from when the backend server began to work on the request to
   * its end. For a stream, counted from the arrival of its answer's head;
   * undefined if none had arrived. For other routes, counted from the sending
   * of the request.
   */
  begunMilliseconds: number | undefined;
  /** Milliseconds from the sending of the request to the end. */
  sentMilliseconds: number;
};
