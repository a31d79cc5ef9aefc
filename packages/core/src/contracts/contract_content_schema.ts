import * as z from "zod";

const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** An operator's contract for one workspace; all limits derive from it. */
export const contractContentSchema = z.strictObject({
  /** Requests per second over all entry hosts together. */
  requests_per_second: z.number().positive().max(1_000_000),
  /** Requests above the rate that are allowed at once, over all entry hosts. */
  burst: z.number().int().min(1).max(1_000_000),
  /** Share of the rate that entry hosts keep while cut off, 0 to 1. */
  guaranteed_share: z.number().min(0).max(1).default(0.4),
  /** Deadline of requests that set none, milliseconds. */
  deadline_milliseconds: z.number().int().min(50).max(600_000).default(10_000),
  /**
   * Calls with larger numbers go first when backend servers are busy: the
   * opposite of the `priority` in a routing configuration.
   */
  priority: z.number().int().min(0).max(9).default(5),
  maximum_body_bytes: z.number().int().min(1).max(8_388_608).default(1_048_576),
  /** Services this workspace may call. */
  services: z.array(z.string().regex(NAME)).min(1).max(64),
});
