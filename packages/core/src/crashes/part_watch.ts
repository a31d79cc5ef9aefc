/** A suspected prompt part, for hosts that see answers to requests with it. */
export type PartWatch = {
  part: string;
  /** Only answers that ended later count, monotonic milliseconds. */
  since: number;
};
