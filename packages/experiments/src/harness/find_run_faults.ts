import type { LoadSummary } from "../load/load_summary.ts";

/**
 * Compares the outcomes reported to callers of unrepeatable calls with the
 * bodies that the services recorded. Returns a line for each call that ran
 * twice, that ran although it was reported as not run, or the reverse.
 */
export function findRunErrors(
  summary: LoadSummary,
  recordedBodies: string[],
): string[] {
  const executed = new Set<string>();
  const errors: string[] = [];
  for (const body of recordedBodies) {
    if (executed.has(body)) errors.push(`ran twice: ${body}`);
    executed.add(body);
  }
  for (const body of summary.unrepeatable.notRun) {
    if (executed.has(body)) errors.push(`reported not run, but ran: ${body}`);
  }
  for (const body of summary.unrepeatable.ran) {
    if (!executed.has(body)) errors.push(`reported run, but did not: ${body}`);
  }
  return errors;
}
