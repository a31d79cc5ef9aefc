import { readFileSync } from "node:fs";
import process from "node:process";
import { parse } from "smol-toml";
import * as z from "zod";

const DEFAULT_ENTRY = "http://127.0.0.1:8080";
const settingsSchema = z.object({ entry: z.url() });

/**
 * Finds the URL of the entry host to call.
 *
 * The `--entry` option comes first, then TEASELROUTER_ENTRY, then the default.
 * Each may be a URL or the path of a TOML file with the key `entry`, as in
 * `entry = "http://..."`. This is not the daemon's settings file, where `entry`
 * is a table.
 *
 * @returns undefined if the file is missing or invalid.
 */
export function findEntry(option: string | undefined): string | undefined {
  const entry = option ?? process.env["TEASELROUTER_ENTRY"] ?? DEFAULT_ENTRY;
  if (/^https?:\/\//.test(entry)) return entry;
  try {
    return settingsSchema.parse(parse(readFileSync(entry, "utf8"))).entry;
  } catch {
    return undefined;
  }
}
