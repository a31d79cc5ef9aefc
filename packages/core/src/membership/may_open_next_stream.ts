/**
 * A stream on which the other host has sent nothing for this long no longer
 * delays the next one: that host may be lost.
 */
const OPEN_TIMEOUT_MILLISECONDS = 500;

type Opening = {
  /** When the stream was opened, monotonic milliseconds. */
  openedAt: number;
  /** Whether the host at the other end has sent something on the stream. */
  hasReceived: boolean;
};

/**
 * Whether a process may open another stream in addition to its current ones.
 *
 * After an outage, all processes connect to the same few hosts at once, and
 * each stream costs these hosts some milliseconds. If every process opens one
 * stream after the other, the first streams of all processes precede any second
 * one, and one stream is enough to serve.
 */
export function mayOpenNextStream(openings: Opening[], now: number): boolean {
  return openings.every(({ openedAt, hasReceived }) =>
    hasReceived || now - openedAt > OPEN_TIMEOUT_MILLISECONDS
  );
}
