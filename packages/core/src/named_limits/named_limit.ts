/** What one start of a backend server says that it takes of all hosts. */
export type NamedLimit = {
  incarnation: string;
  /** Requests a second; undefined once it names no limit any more. */
  perSecond: number | undefined;
  /** When it said so, monotonic milliseconds of the host that keeps it. */
  saidAt: number;
};
