import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { FleetSettings } from "./fleet_settings.ts";
import { fleetSettingsSchema } from "./fleet_settings_schema.ts";

/** Reads a modelled fleet; throws where the file is not one. */
export function loadFleetSettings(path: string): FleetSettings {
  return fleetSettingsSchema.parse(parse(readFileSync(path, "utf8")));
}
