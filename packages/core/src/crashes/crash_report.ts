/** A request that was under way on a backend server when that one ended. */
export type CrashReport = {
  /** The same for all attempts of one request: its path, caller and body. */
  fingerprint: string;
  /** One start of one backend server. */
  incarnation: string;
  /** From the beginning of its answer to the end; undefined without one. */
  begunMilliseconds: number | undefined;
};
