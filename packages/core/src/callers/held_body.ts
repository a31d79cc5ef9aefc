/** Bytes that the body of one request takes. */
export interface HeldBody {
  /** Counts more bytes; false if they can't be held, and the body is given up. */
  tryGrow(bytes: number, now: number): boolean;
  /** The body has arrived; it is given up for no other any more. */
  complete(): void;
  /** Counts none of its bytes any more. */
  release(): void;
}
