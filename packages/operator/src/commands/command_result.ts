/** Output and exit code of a command. */
export type CommandResult = {
  exit: number;
  /** Human-readable output. */
  text: string;
  /** Output with `--json`. */
  json: unknown;
};
