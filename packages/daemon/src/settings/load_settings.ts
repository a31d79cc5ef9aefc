import { readFile, stat } from "node:fs/promises";
import { dirname } from "node:path";
import { Result } from "true-myth";
import { parseSettings } from "./parse_settings.ts";
import type { Settings } from "./settings.ts";

/**
 * Checks that the parent of a control host's data folder exists; the folder
 * itself is created if it is missing.
 */
async function checkDataFolder(settings: Settings): Promise<string[]> {
  if (!settings.roles.includes("control")) return [];
  const folder = settings.control!.data_folder;
  const parent = await stat(dirname(folder)).catch(() => undefined);
  if (parent?.isDirectory()) return [];
  return [
    `control.data_folder: got "${folder}"; the folder above it must exist`,
  ];
}

/** Reads and checks a settings file; the error has one line for each fault. */
export async function loadSettings(
  path: string,
): Promise<Result<Settings, string[]>> {
  const text = await readFile(path, "utf8").catch(() => undefined);
  if (text === undefined) return Result.err([`${path}: can't be read`]);
  const settings = parseSettings(text);
  if (settings.isErr) return settings;
  const faults = await checkDataFolder(settings.value);
  return faults.length > 0 ? Result.err(faults) : settings;
}
