import * as z from "zod";
import { addressSchema } from "../settings/address_schema.ts";

/** A backend server's announcement to the agent on its host. */
export const announcementSchema = z.strictObject({
  service: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  address: addressSchema,
  /** Whether it refuses load orders with an old fencing token. */
  checks_fencing: z.boolean(),
  /** Whether its calls may be repeated. */
  repeatable: z.boolean(),
  /** Whether it serves a model's weights. */
  uses_weights: z.boolean(),
  /** Number of calls that it processes at once. */
  slots: z.number().int().min(1).max(4_096),
  /**
   * When its process started, Unix milliseconds. Without it, a new start that
   * the agent did not notice is taken for the old one.
   */
  started_at: z.number().int().min(0).optional(),
});
