import type { HostSpan } from "./host_span.ts";

/** What happened on a day, for the judgement; times from `performance.now()`. */
export type LeavingRecord = {
  controlHosts: string[];
  /** Ended ones, and those that had not ended when the day did. */
  spans: HostSpan[];
  /** First acknowledgement that a start of a server leaves or is gone. */
  acknowledgements: { server: string; at: number }[];
  /** Requests that servers were sent, and the gateway that each was sent to. */
  arrivals: { server: string; id: string; gateway: string; at: number }[];
};
