import type { NumberedRow } from "./numbered_row.ts";

const MAX_HISTORY_LENGTH = 64;

type Decision =
  | { kind: "apply"; number: number; history: NumberedRow["history"] }
  | { kind: "repeated"; number: number }
  | { kind: "superseded" };

/**
 * Decides an operator's change to a row by optimistic concurrency: `expected`
 * is the number of the row that the change replaces. Two operators can change
 * the same row at once, and a client that did not receive its answer resends
 * its change. A change whose number and digest are in the row's history is such
 * a resend ("repeated"): it is accepted without effect, and answered with the
 * current row, which may be newer. Any other change that does not replace the
 * current number fails ("superseded").
 */
export function decideNumberedChange(
  row: NumberedRow | undefined,
  expected: number,
  digest: string,
): Decision {
  const current = row?.number ?? 0;
  const number = expected + 1;
  if (current === expected) {
    const history = [...(row?.history ?? []), { number, digest }];
    return {
      kind: "apply",
      number,
      history: history.slice(-MAX_HISTORY_LENGTH),
    };
  }
  const recorded = row?.history.find((change) => change.number === number);
  return recorded?.digest === digest
    ? { kind: "repeated", number }
    : { kind: "superseded" };
}
