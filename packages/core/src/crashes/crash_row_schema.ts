import * as z from "zod";
import { REQUESTS_PER_CRASH_ROW } from "./requests_per_crash_row.ts";

const boundedText = z.string().min(1).max(512);

const crashedRequestSchema = z.strictObject({
  fingerprint: boundedText,
  parts: z.array(z.string().min(1).max(32)).max(32),
  /** As in `CrashReport`; null if no answer had started. */
  begunMilliseconds: z.number().min(0).nullable(),
  isGivenUp: z.boolean(),
});

/** Validates a `CrashRow`. `at` is in Unix milliseconds. */
export const crashRowSchema = z.strictObject({
  incarnation: boundedText,
  at: z.number(),
  requests: z.array(crashedRequestSchema).max(REQUESTS_PER_CRASH_ROW),
});
