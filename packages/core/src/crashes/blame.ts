/** A request that is not to be run for a time, as it ends what runs it. */
export type Blame = {
  fingerprint: string;
  /** Backend servers that ended under it, as far as is known. */
  crashes: number;
  /** The latest of them: they are not to be laid to any other request. */
  incarnations: string[];
  /** How long it is refused behind its latest crash. */
  termMilliseconds: number;
  /** Monotonic milliseconds. */
  endsAt: number;
};
