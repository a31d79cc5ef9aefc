import { writeFileSync } from "node:fs";
import { stringify } from "smol-toml";

/** Writes one process's settings file. */
export function writeSettings(path: string, settings: object): string {
  writeFileSync(path, stringify(settings));
  return path;
}
