import type { WeightsManifest } from "./weights_manifest.ts";

/**
 * Confirms a version's manifest by two reads in a row that agree; reads that
 * failed don't count. With a manifest that was corrupted in transit, every
 * intact chunk would fail verification, permanently.
 */
export class ManifestConfirmation {
  #latest = "";

  /** Returns whether the manifest equals the one that was read before it. */
  confirm(manifest: WeightsManifest): boolean {
    const text = JSON.stringify(manifest);
    const isConfirmed = text === this.#latest;
    this.#latest = text;
    return isConfirmed;
  }
}
