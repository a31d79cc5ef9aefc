/** The version of a model's weights that an operator named last. */
export type NamedWeightsRow = {
  model: string;
  version: number;
  /** Log index of its acceptance. */
  index: number;
  /** Leader's time of day then, Unix milliseconds; it may be off. */
  at: number;
};
