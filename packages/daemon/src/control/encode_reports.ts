import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import type { CrashReport as CrashReportMessage } from "@teaselrouter/messages/follow.ts";
import { encodeCrashReport } from "../transport/encode_crash_report.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Encodes crash reports that are sent now. */
export function encodeReports(reports: CrashReport[]): CrashReportMessage[] {
  const now = monotonicMilliseconds();
  return reports.map((report) => encodeCrashReport(report, now));
}
