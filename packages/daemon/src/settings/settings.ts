import type * as z from "zod";
import type { settingsSchema } from "./settings_schema.ts";

/** A daemon's validated settings. */
export type Settings = z.infer<typeof settingsSchema>;
