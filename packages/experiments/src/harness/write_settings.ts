import { writeFileSync } from "node:fs";
import { stringify } from "smol-toml";

/** Writes a process's settings file as TOML and returns its path. */
export function writeSettings(path: string, settings: object): string {
  writeFileSync(path, stringify(settings));
  return path;
}
