import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";

/** How chunks are asked from a store of weights. */
export interface WeightStoreFormat {
  chunkRequest(
    store: string,
    manifest: WeightsManifest,
    chunk: number,
  ): { url: string; headers: Record<string, string> };
}
