/** Figures of one run; shares are parts of the worth that was asked for. */
export type FleetFigures = {
  calls: number;
  worth: number;
  inTime: number;
  late: number;
  refused: number;
  left: number;
  /** Refused for good on a second try. */
  refusedAgain: number;
  /** Until the first event of what was answered, milliseconds. */
  firstEventP50: number;
  firstEventP99: number;
  worstWindow: number;
  worstKind: number;
  /** Part of the sends that went to another data centre. */
  crossings: number;
};
