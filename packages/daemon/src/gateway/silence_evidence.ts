/** What a gateway knew when it decided about a silent backend server. */
export type SilenceEvidence = {
  /** Time without data from the backend server. */
  silentMilliseconds: number;
  /** Retries that this host's budget had left. */
  retriesLeft: number;
  /** Instance that takes over; undefined if there is none. */
  to: string | undefined;
  /** Why none takes over. */
  keptReason: string | undefined;
};
