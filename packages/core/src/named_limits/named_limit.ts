/**
 * The request rate that one start of a backend server announces to accept from
 * all hosts together.
 */
export type NamedLimit = {
  /** Identifies the start of the backend server: `instance@bornAt`. */
  incarnation: string;
  /** Requests a second; undefined once it announces no limit any more. */
  perSecond: number | undefined;
  /**
   * When the backend server announced it, in monotonic milliseconds of the host
   * that stores this object.
   */
  announcedAt: number;
};
