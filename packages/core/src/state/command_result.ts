/**
 * The state machine's answer to a command. `reason` says why a command was
 * refused. `value`, if present, describes what is in effect, whether or not
 * the command was accepted.
 */
export type CommandResult = {
  accepted: boolean;
  reason?: string;
  value?: unknown;
};
