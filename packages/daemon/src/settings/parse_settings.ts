import { parse } from "smol-toml";
import { Result } from "true-myth";
import type * as z from "zod";
import type { Settings } from "./settings.ts";
import { settingsSchema } from "./settings_schema.ts";
import { applyPeerPort } from "./apply_peer_port.ts";

function getValueAt(root: unknown, path: PropertyKey[]): unknown {
  let value = root;
  for (const key of path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
  }
  return value;
}

function formatIssue(issue: z.core.$ZodIssue, document: unknown): string {
  if (issue.code === "unrecognized_keys") {
    const keys = issue.keys.map((key) => [...issue.path, key].join("."));
    return `${keys.join(", ")}: unknown key`;
  }
  const key = issue.path.join(".") || "(whole file)";
  const value = getValueAt(document, issue.path);
  const shown = value === undefined ? "nothing" : JSON.stringify(value);
  return `${key}: got ${shown}; ${issue.message}`;
}

/**
 * Parses and validates the text of a settings file.
 *
 * @returns the settings, or one line for each fault with the key, its value and
 * what is allowed.
 */
export function parseSettings(text: string): Result<Settings, string[]> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err([`not TOML: ${message.split("\n")[0]}`]);
  }
  const checked = settingsSchema.safeParse(document);
  if (checked.success) return Result.ok(applyPeerPort(checked.data));
  return Result.err(
    checked.error.issues.map((issue) => formatIssue(issue, document)),
  );
}
