/**
 * The state machine's answer to a command. A refusal says why in `reason`;
 * `value` is what stands, either way.
 */
export type ChangeAnswer = {
  accepted: boolean;
  reason?: string;
  value?: unknown;
};
