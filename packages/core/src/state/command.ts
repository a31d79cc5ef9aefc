import type * as z from "zod";
import type { commandSchema } from "./command_schema.ts";

/** A validated command of the replicated log. */
export type Command = z.infer<typeof commandSchema>;
