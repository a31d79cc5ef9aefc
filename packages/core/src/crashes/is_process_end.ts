import type { BreakVerdict } from "./break_verdict.ts";

const PROCESS_ENDS: readonly BreakVerdict[] = [
  "refuses",
  "closes",
  "replaced",
  "misdirected",
];

/** Whether a break was caused by the end of the backend server's process. */
export function isProcessEnd(verdict: BreakVerdict): boolean {
  return PROCESS_ENDS.includes(verdict);
}
