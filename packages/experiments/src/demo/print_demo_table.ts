import type { LoadSummary } from "../load/load_summary.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";

type DemoResult = {
  publications: { version: string; seconds: number; originCopies: number }[];
  replicas: number;
  summary: LoadSummary;
  /** Reported outcomes that contradict the services' own records. */
  runErrors: string[];
  /**
   * Lower bounds of the time of a spread, by the origin's bandwidth and by that
   * of a host's link.
   */
  bounds: { originSeconds: number; hostSeconds: number };
};

function formatRefusals(refused: Record<string, number>): string {
  const parts = Object.entries(refused).map(([reason, count]) =>
    `${count} ${reason}`
  );
  return parts.join(", ") || "-";
}

/**
 * Prints the demo's tables. Returns whether no answer was wrong or incomplete
 * and all reported outcomes match the services' records.
 */
export function printDemoTable(outcome: DemoResult): boolean {
  const { summary, bounds, replicas, runErrors } = outcome;
  console.log();
  console.log(formatTable(
    ["VERSION", "LIVE ON", "SECONDS", "ORIGIN COPIES", "BOUND: ORIGIN", "HOST"],
    outcome.publications.map(({ version, seconds, originCopies }) => [
      version,
      replicas,
      seconds.toFixed(1),
      originCopies.toFixed(2),
      bounds.originSeconds.toFixed(1),
      bounds.hostSeconds.toFixed(1),
    ]),
  ));
  console.log();
  console.log(formatTable(
    ["SERVICE", "SENT", "WHOLE", "WRONG", "CUT", "P50 MS", "P95 MS", "REFUSED"],
    Object.entries(summary.services).map(([service, row]) => [
      service,
      row.sent,
      row.whole,
      row.wrong,
      row.cut,
      row.p50,
      row.p95,
      formatRefusals(row.refused),
    ]),
  ));
  const { ran, notRun, unknown } = summary.unrepeatable;
  console.log();
  console.log(
    `unrepeatable calls: ${ran.length} run once, ${notRun.length} not run, ` +
      `${unknown.length} unknown, ${runErrors.length} against the record`,
  );
  for (const line of [...runErrors, ...summary.wrongDetails]) console.log(line);
  const rows = Object.values(summary.services);
  const wrong = rows.reduce((sum, row) => sum + row.wrong + row.cut, 0);
  return wrong === 0 && runErrors.length === 0;
}
