/** Exit codes of the command-line client. */
export const exitCode = {
  done: 0,
  /** Refused; the output states the reason and the current state, if any. */
  refused: 1,
  /** Bad usage or input; nothing was sent. */
  usage: 2,
  /** The outcome is unknown; the same command can safely be sent again. */
  unknown: 3,
} as const;
