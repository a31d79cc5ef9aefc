import type { LoadSummary } from "../load/load_summary.ts";

/**
 * Compares the outcomes reported to callers of unrepeatable calls with the
 * bodies that the services recorded. Returns a line for each call that ran
 * twice, or whose outcome was reported wrongly.
 */
export function findRunErrors(
  summary: LoadSummary,
  record: string[],
): string[] {
  const executed = new Set<string>();
  const faults: string[] = [];
  for (const body of record) {
    if (executed.has(body)) faults.push(`ran twice: ${body}`);
    executed.add(body);
  }
  for (const body of summary.unrepeatable.notRun) {
    if (executed.has(body)) faults.push(`reported not run, but ran: ${body}`);
  }
  for (const body of summary.unrepeatable.ran) {
    if (!executed.has(body)) faults.push(`reported run, but did not: ${body}`);
  }
  return faults;
}
