import * as z from "zod";

/** Validates a departure in the replicated log. */
export const departureSchema = z.strictObject({
  instance: z.string().min(1).max(512),
  /**
   * Start that departs, Unix milliseconds. Missing if the host that was told
   * didn't know the instance: then every start before `at` departs.
   */
  bornAt: z.number().optional(),
  /** Announcements of the start up to this one are outdated. */
  sequence: z.number().int(),
  /** `leaving` ends what it has; `gone` is the last word of a start. */
  state: z.enum(["leaving", "gone"]),
  /** When a control host was told, Unix milliseconds. */
  at: z.number(),
});
