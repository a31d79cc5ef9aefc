import type { WeightStoreFormat } from "../platform/weight_store_format.ts";

/** For weight stores that serve a version as one file with range requests. */
export const rangeStoreFormat: WeightStoreFormat = {
  buildChunkRequest(store, manifest, chunk) {
    const first = chunk * manifest.chunk_bytes;
    const end = Math.min(first + manifest.chunk_bytes, manifest.total_bytes);
    const name = encodeURIComponent(manifest.name);
    const version = encodeURIComponent(manifest.version);
    return {
      url: `${store}/weights/${name}/${version}`,
      headers: { Range: `bytes=${first}-${end - 1}` },
    };
  },
};
