/** What an operator is told of an order to evacuate, or to end it. */
export type EvacuationAnswer =
  | { kind: "accepted" }
  /** No data centre can have the name, or too many are recorded already. */
  | { kind: "invalid"; detail: string }
  | { kind: "unknown-data-centre"; detail: string }
  /** The outcome is unknown; the order can be sent again. */
  | { kind: "unavailable" };
