/** A row that operators replace under a number. */
export type NumberedRow = {
  number: number;
  history: { number: number; digest: string }[];
};
