import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";

/** Builds the requests that fetch chunks from a weight store. */
export interface WeightStoreFormat {
  buildChunkRequest(
    store: string,
    manifest: WeightsManifest,
    chunk: number,
  ): { url: string; headers: Record<string, string> };
}
