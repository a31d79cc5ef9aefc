/**
 * A row that operators replace. `number` counts its accepted changes, and
 * `history` holds the digests of the latest ones.
 */
export type NumberedRow = {
  number: number;
  history: { number: number; digest: string }[];
};
