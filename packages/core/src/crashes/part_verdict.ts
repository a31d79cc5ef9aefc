/** What is held of a prompt part. */
export type PartVerdict = {
  /** Whether it is to be blamed. */
  isGuilty: boolean;
  /** How likely, at most, it would be so if it harmed nobody; at most 1. */
  likelihood: number;
};
