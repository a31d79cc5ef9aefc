import type { WeightsManifest } from "./weights_manifest.ts";

/** How a version is written in headers, logs and messages: name@version. */
export function versionName(manifest: WeightsManifest): string {
  return `${manifest.name}@${manifest.version}`;
}
