/** Who is to be blamed for crashes. */
export type Culprit = {
  /** A request's fingerprint, or the names of parts as in `nameParts`. */
  name: string;
  incarnations: string[];
  /** When the latest of these crashes was, monotonic milliseconds. */
  lastCrashAt: number;
};
