/**
 * A backend server as seen by one entry host. Points in time are Unix
 * milliseconds of this entry host's wall clock.
 */
export type BackendServerRow = {
  backendServer: string;
  dataCentre: string;
  service: string;
  /** Identifies the agent process in front of the backend server. */
  incarnation: string;
  internalAddress: string;
  chunkAddress: string;
  checksFencing: boolean;
  repeatable: boolean;
  usesWeights: boolean;
  /** Calls that the backend server processes concurrently. */
  slots: number;
  /** As `versionName` formats it: name@version; empty if none is loaded. */
  servingVersion: string;
  accepting: boolean;
  linkBytesPerSecond: number;
  heardAt: number;
  /** Until when the backend server has asked for no calls; 0 for no pause. */
  pausedUntil: number;
  acceptingSince: number;
  /** Calls of this entry host in flight on the backend server. */
  ownInFlight: number;
  load: {
    running: number;
    queued: number;
    /** Recent mean duration of a call; 0 before the first report. */
    serviceMilliseconds: number;
    /** Calls of this entry host in flight when the report arrived. */
    ownInFlight: number;
    at: number;
  };
  /** Consecutive failures seen by this entry host. */
  failures: number;
  /** Until when the backend server is ejected; see `OutlierDetector`. */
  asideUntil: number;
};
