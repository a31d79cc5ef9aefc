import { create } from "@bufbuild/protobuf";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import {
  type CrashReport as CrashReportMessage,
  CrashReportSchema,
} from "@teaselrouter/messages/follow.ts";

/** On the wire: the answer had not begun when the backend server ended. */
const ANSWER_NOT_BEGUN = -1;

/** Encodes a crash report for another process. */
export function encodeCrashReport(report: CrashReport): CrashReportMessage {
  return create(CrashReportSchema, {
    ...report,
    begunMilliseconds: report.begunMilliseconds ?? ANSWER_NOT_BEGUN,
  });
}
