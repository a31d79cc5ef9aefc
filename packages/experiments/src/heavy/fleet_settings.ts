import type * as z from "zod";
import type { fleetSettingsSchema } from "./fleet_settings_schema.ts";

/** Checked settings of a modelled fleet. */
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;
