import { create } from "@bufbuild/protobuf";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import {
  type CrashReport as CrashReportMessage,
  CrashReportSchema,
} from "@teaselrouter/messages/follow.ts";

/** Stands for an answer that had not begun. */
const NOT_BEGUN = -1;

/** Writes a report for the way between processes. */
export function encodeCrashReport(report: CrashReport): CrashReportMessage {
  return create(CrashReportSchema, {
    ...report,
    begunMilliseconds: report.begunMilliseconds ?? NOT_BEGUN,
  });
}
