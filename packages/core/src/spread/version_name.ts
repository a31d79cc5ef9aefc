import type { WeightsManifest } from "./weights_manifest.ts";

/** Formats a version as name@version, for headers, logs and messages. */
export function versionName(manifest: WeightsManifest): string {
  return `${manifest.name}@${manifest.version}`;
}
