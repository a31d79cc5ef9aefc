/** A reading of a hybrid logical clock. */
export type HybridTime = {
  /** Unix time in milliseconds. */
  time: number;
  /** Orders readings with an equal `time`. */
  counter: number;
};
