import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { FleetSettings } from "./fleet_settings.ts";
import { fleetSettingsSchema } from "./fleet_settings_schema.ts";

/** Reads the settings of a modelled fleet; throws if the file is invalid. */
export function loadFleetSettings(path: string): FleetSettings {
  return fleetSettingsSchema.parse(parse(readFileSync(path, "utf8")));
}
