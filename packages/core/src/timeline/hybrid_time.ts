/** A hybrid logical clock's reading. */
export type HybridTime = {
  /** Milliseconds since 1970. */
  time: number;
  /** Orders readings within one millisecond. */
  counter: number;
};
