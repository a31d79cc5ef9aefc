/** The version of a model's weights that an operator named last. */
export type NamedWeightsRow = {
  model: string;
  version: number;
  /** Log index at which the naming was accepted. */
  index: number;
  /** Leader's wall clock at that time, Unix milliseconds; may be inaccurate. */
  at: number;
};
