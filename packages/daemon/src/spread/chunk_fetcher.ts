import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { WeightStoreFormat } from "../platform/weight_store_format.ts";
import { fetchBytes } from "./fetch_bytes.ts";
import type { LinkPacer } from "./link_pacer.ts";

type Options = {
  dataCentre: string;
  pacer: LinkPacer;
  /** How the weight store is asked. */
  storeFormat: WeightStoreFormat;
};

type Want = {
  manifest: WeightsManifest;
  store: string;
  chunk: number;
  /** Another agent's chunk address; empty for the origin. */
  source: string;
  signal: AbortSignal;
};

/** Fetches one chunk from another agent or from the origin. */
export class ChunkFetcher {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  fetch(want: Want): Promise<Result<Buffer, string>> {
    const { manifest, chunk, source, signal, store } = want;
    const expectedBytes = Math.min(
      manifest.chunk_bytes,
      manifest.total_bytes - chunk * manifest.chunk_bytes,
    );
    const { dataCentre, pacer, storeFormat } = this.#options;
    const common = { expectedBytes, pacer, signal };
    if (source === "") {
      const request = storeFormat.chunkRequest(store, manifest, chunk);
      return fetchBytes({ ...common, ...request, isFromStore: true });
    }
    const version = encodeURIComponent(versionName(manifest));
    return fetchBytes({
      ...common,
      isFromStore: false,
      url: `http://${source}/chunks/${version}/${chunk}`,
      headers: { "Teaselrouter-Data-Centre": dataCentre },
    });
  }
}
