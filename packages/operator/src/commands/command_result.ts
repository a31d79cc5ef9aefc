/** What a command prints, and how it ends. */
export type CommandResult = {
  exit: number;
  /** For people. */
  text: string;
  /** For programs, with `--json`. */
  json: unknown;
};
