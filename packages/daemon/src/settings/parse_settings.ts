import { parse } from "smol-toml";
import { Result } from "true-myth";
import type * as z from "zod";
import type { Settings } from "./settings.ts";
import { settingsSchema } from "./settings_schema.ts";
import { withPeerPort } from "./with_peer_port.ts";

function valueAt(root: unknown, path: PropertyKey[]): unknown {
  let value = root;
  for (const key of path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
  }
  return value;
}

function describe(issue: z.core.$ZodIssue, root: unknown): string {
  if (issue.code === "unrecognized_keys") {
    const keys = issue.keys.map((key) => [...issue.path, key].join("."));
    return `${keys.join(", ")}: unknown key`;
  }
  const key = issue.path.join(".") || "(whole file)";
  const value = valueAt(root, issue.path);
  const shown = value === undefined ? "nothing" : JSON.stringify(value);
  return `${key}: got ${shown}; ${issue.message}`;
}

/**
 * Checks a settings file's text.
 *
 * @returns the settings, or one line for each fault: key, value, what is
 * allowed.
 */
export function parseSettings(text: string): Result<Settings, string[]> {
  let root: unknown;
  try {
    root = parse(text);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err([`not TOML: ${message.split("\n")[0]}`]);
  }
  const checked = settingsSchema.safeParse(root);
  if (checked.success) return Result.ok(withPeerPort(checked.data));
  return Result.err(
    checked.error.issues.map((issue) => describe(issue, root)),
  );
}
