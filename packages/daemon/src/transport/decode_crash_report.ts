import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import type { CrashReport as CrashReportMessage } from "@teaselrouter/messages/follow.ts";

/** Decodes a crash report from another process. */
export function decodeCrashReport(message: CrashReportMessage): CrashReport {
  const { fingerprint, incarnation, begunMilliseconds } = message;
  return {
    fingerprint,
    incarnation,
    begunMilliseconds: begunMilliseconds < 0 ? undefined : begunMilliseconds,
  };
}
