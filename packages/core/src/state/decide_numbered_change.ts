import type { NumberedRow } from "./numbered_row.ts";

const HISTORY_LENGTH = 64;

type Decision =
  | { kind: "apply"; number: number; history: NumberedRow["history"] }
  | { kind: "repeated"; number: number }
  | { kind: "lost" };

/**
 * Decides an operator's change by the number it expects to replace. Two
 * operators can race under one number, and a client that lost its answer
 * sends again: equal number and equal content is the same change and gets
 * the same answer, equal number and other content loses.
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
    return { kind: "apply", number, history: history.slice(-HISTORY_LENGTH) };
  }
  const earlier = row?.history.find((change) => change.number === number);
  return earlier?.digest === digest
    ? { kind: "repeated", number }
    : { kind: "lost" };
}
