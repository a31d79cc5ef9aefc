/** On what an attempt was given up because its backend server was silent. */
export type SilenceEvidence = {
  /** Time without data from the backend server. */
  silentMilliseconds: number;
  /** Retries that this host's budget had left. */
  retriesLeft: number;
  /** Instance that was to take over; undefined if there was none. */
  to: string | undefined;
};
