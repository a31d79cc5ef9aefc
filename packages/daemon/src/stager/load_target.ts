/** The weights that an engine is to be brought to; `since` in monotonic ms. */
export type LoadTarget = {
  model: string;
  number: number;
  version: string;
  since: number;
};
