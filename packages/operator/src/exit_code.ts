/** How a command of the client ended, for shells. */
export const exitCode = {
  done: 0,
  /** Refused, with why and what stands now. */
  refused: 1,
  /** Bad usage or input; nothing was sent. */
  usage: 2,
  /** The outcome is not known; the same command may be sent again. */
  unknown: 3,
} as const;
