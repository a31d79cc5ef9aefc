/** Input of the load driver process, as JSON in a file. */
export type LoadPlan = {
  /** Public URLs of the entry hosts, which get the calls in turn. */
  entries: string[];
  workspace: string;
  seed: number;
  deadlineMilliseconds: number;
  streams: {
    service: string;
    callsPerSecond: number;
    kind: "engine" | "repeatable" | "unrepeatable";
    /**
     * Whether a call that was refused without being run is sent again after the
     * time that the refusal names. False if unset.
     */
    asksAgain?: boolean;
  }[];
  /** Digest of the weights of each published version. */
  weightDigests: Record<string, string>;
};
