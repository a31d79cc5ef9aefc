/** A host that was not heard for so long after it was turned to may be lost. */
const OPENING_MILLISECONDS = 500;

type Opening = {
  /** When its stream was begun, monotonic milliseconds. */
  openedAt: number;
  /** Whether the host at the other end has said something on it. */
  isHeard: boolean;
};

/**
 * Whether a process may open its next stream beside those it has.
 *
 * Pattern: behind an outage all processes turn to the same few hosts in one
 * moment, and each stream costs these some milliseconds. With one stream opened
 * after the other, the first streams of all come ahead of anyone's second one,
 * and one is enough to serve.
 */
export function mayOpenNext(openings: Opening[], now: number): boolean {
  return openings.every(({ openedAt, isHeard }) =>
    isHeard || now - openedAt > OPENING_MILLISECONDS
  );
}
