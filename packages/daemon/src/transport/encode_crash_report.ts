import { create } from "@bufbuild/protobuf";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import {
  type CrashReport as CrashReportMessage,
  CrashReportSchema,
} from "@teaselrouter/messages/follow.ts";

/** On the wire: the answer had not begun when the backend server ended. */
const ANSWER_NOT_BEGUN = -1;

/**
 * Encodes a crash report for another process; `now` is the local monotonic
 * time.
 */
export function encodeCrashReport(
  report: CrashReport,
  now: number,
): CrashReportMessage {
  const { fingerprint, incarnation, parts, crashedAt, sentMilliseconds } =
    report;
  return create(CrashReportSchema, {
    fingerprint,
    incarnation,
    parts: [...parts ?? []],
    begunMilliseconds: report.begunMilliseconds ?? ANSWER_NOT_BEGUN,
    ...(sentMilliseconds === undefined ? {} : { sentMilliseconds }),
    givenUp: report.isGivenUp ?? false,
    ageMilliseconds: Math.max(0, now - (crashedAt ?? now)),
  });
}
