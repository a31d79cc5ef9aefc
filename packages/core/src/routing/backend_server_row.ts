/** A backend server as an entry host knows it. Times in milliseconds. */
export type BackendServerRow = {
  backendServer: string;
  dataCentre: string;
  service: string;
  /** The agent process in front of it. */
  incarnation: string;
  internalAddress: string;
  chunkAddress: string;
  checksFencing: boolean;
  repeatable: boolean;
  usesWeights: boolean;
  /** Calls that it works on at once. */
  slots: number;
  servingVersion: string;
  accepting: boolean;
  linkBytesPerSecond: number;
  heardAt: number;
  acceptingSince: number;
  /** Calls from this entry host under way there. */
  ownInFlight: number;
  load: {
    running: number;
    queued: number;
    serviceMilliseconds: number;
    /** Own calls under way when the report came. */
    ownInFlight: number;
    at: number;
  };
  /** Failures in a row seen by this entry host. */
  failures: number;
  asideUntil: number;
};
