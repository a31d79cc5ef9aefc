import type { z } from "zod";
import type { crashRowSchema } from "./crash_row_schema.ts";

/**
 * The end of one start of a backend server, as stored in the replicated tables,
 * with those requests in flight there that had begun last.
 */
export type CrashRow = z.infer<typeof crashRowSchema>;
