/** What the load driver counted of one service. */
type ServiceSummary = {
  sent: number;
  whole: number;
  wrong: number;
  /** Answers whose connection was broken before their end. */
  cut: number;
  /** Calls to an entry host that no longer listened. */
  unreached: number;
  refused: Record<string, number>;
  /** Until a refusal was answered, milliseconds. */
  refusedP99: number;
  /** Of whole answers, milliseconds. */
  p50: number;
  p95: number;
  p99: number;
  byVersion: Record<string, number>;
};

/** What the load driver prints at its end. */
export type LoadSummary = {
  services: Record<string, ServiceSummary>;
  /** Bodies of unrepeatable calls by their last reported outcome. */
  unrepeatable: { ran: string[]; notRun: string[]; unknown: string[] };
  wrongDetails: string[];
};
