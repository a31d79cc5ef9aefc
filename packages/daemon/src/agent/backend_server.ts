import type * as z from "zod";
import type { announcementSchema } from "./announcement_schema.ts";

/** An announcement of the backend server on this host, once validated. */
export type BackendServer = z.infer<typeof announcementSchema>;
