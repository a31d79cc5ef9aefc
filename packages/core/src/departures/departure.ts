import type * as z from "zod";
import type { departureSchema } from "./departure_schema.ts";

/** What one start of a backend server last said of its own end. */
export type Departure = z.infer<typeof departureSchema>;
