import { readFileSync } from "node:fs";
import process from "node:process";
import { parse } from "smol-toml";
import * as z from "zod";

const DEFAULT_ENTRY = "http://127.0.0.1:8080";
const settingsSchema = z.object({ entry: z.url() });

/**
 * Address of the entry host to speak to: `--entry` as a URL or a settings
 * file with a line `entry = "http://..."`, else TEASELROUTER_ENTRY.
 */
export function findEntry(given: string | undefined): string | undefined {
  const entry = given ?? process.env["TEASELROUTER_ENTRY"] ?? DEFAULT_ENTRY;
  if (/^https?:\/\//.test(entry)) return entry;
  try {
    return settingsSchema.parse(parse(readFileSync(entry, "utf8"))).entry;
  } catch {
    return undefined;
  }
}
