import type * as z from "zod";
import type { announceSchema } from "./announce_schema.ts";

/** What the backend server on this host said of itself. */
export type BackendServer = z.infer<typeof announceSchema>;
