/**
 * Happens at a time, milliseconds; a message of a gateway that is killed before is
 * lost.
 */
export type TrafficEvent = {
  at: number;
  run: (now: number) => void;
  gateway?: number;
};
