/** Results of one service's calls. */
type ServiceSummary = {
  sent: number;
  whole: number;
  /** Answers that differ from the expected one. */
  wrong: number;
  /** Answers whose connection broke before their end. */
  cut: number;
  /** Calls to an entry host that accepted no connection. */
  unreached: number;
  /** Number of refusals by reason; a call may be refused several times. */
  refused: Record<string, number>;
  /** Time to a refusal, milliseconds. */
  refusedP99: number;
  /** Time to a complete and correct answer, milliseconds. */
  p50: number;
  p95: number;
  p99: number;
  /** Number of correct answers by version of the weights. */
  byVersion: Record<string, number>;
};

/** Output of the load driver process, as JSON. */
export type LoadSummary = {
  services: Record<string, ServiceSummary>;
  /** Bodies of unrepeatable calls, by their last reported outcome. */
  unrepeatable: { ran: string[]; notRun: string[]; unknown: string[] };
  /** A line for each wrong answer and each broken connection. */
  wrongDetails: string[];
};
