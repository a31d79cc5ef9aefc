import type { LoadSummary } from "../load/load_summary.ts";

/** Compares what callers were told with the services' own record. */
export function findRunFaults(
  summary: LoadSummary,
  record: string[],
): string[] {
  const seen = new Set<string>();
  const faults: string[] = [];
  for (const body of record) {
    if (seen.has(body)) faults.push(`ran twice: ${body}`);
    seen.add(body);
  }
  for (const body of summary.unrepeatable.notRun) {
    if (seen.has(body)) faults.push(`reported not run, but ran: ${body}`);
  }
  for (const body of summary.unrepeatable.ran) {
    if (!seen.has(body)) faults.push(`reported run, but did not: ${body}`);
  }
  return faults;
}
