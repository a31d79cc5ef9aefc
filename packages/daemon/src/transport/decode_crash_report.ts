import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import type { CrashReport as CrashReportMessage } from "@teaselrouter/messages/follow.ts";

/**
 * Decodes a crash report from another process; `now` is the local monotonic
 * time.
 */
export function decodeCrashReport(
  message: CrashReportMessage,
  now: number,
): CrashReport {
  const { fingerprint, incarnation, begunMilliseconds, sentMilliseconds } =
    message;
  const isSentKnown = sentMilliseconds !== undefined &&
    Number.isFinite(sentMilliseconds) && sentMilliseconds >= 0;
  return {
    fingerprint,
    incarnation,
    parts: [...message.parts],
    begunMilliseconds: begunMilliseconds < 0 ? undefined : begunMilliseconds,
    ...(isSentKnown ? { sentMilliseconds } : {}),
    crashedAt: now - message.ageMilliseconds,
    isGivenUp: message.givenUp,
  };
}
