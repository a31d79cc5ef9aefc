import * as z from "zod";
import { addressSchema } from "../settings/address_schema.ts";

/** A backend server's announcement to the agent on its host. */
export const announceSchema = z.strictObject({
  service: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  address: addressSchema,
  /** Whether it refuses orders with an old fencing token. */
  checks_fencing: z.boolean(),
  /** Whether its calls may be repeated. */
  repeatable: z.boolean(),
  /** Whether it serves a model's weights. */
  uses_weights: z.boolean(),
  /** Calls that it works on at once. */
  slots: z.number().int().min(1).max(4_096),
});
