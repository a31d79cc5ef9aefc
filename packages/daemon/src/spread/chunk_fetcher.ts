import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import type { WeightStoreFormat } from "../platform/weight_store_format.ts";
import { fetchBytes } from "./fetch_bytes.ts";
import type { LinkPacer } from "./link_pacer.ts";

type Options = {
  dataCentre: string;
  pacer: LinkPacer;
  /** How chunks are requested from the weight store. */
  weightStoreFormat: WeightStoreFormat;
};

type FetchRequest = {
  manifest: WeightsManifest;
  store: string;
  /** Chunks of one block, in order. */
  chunks: number[];
  /** Chunk address of another host; empty for the origin. */
  source: string;
  signal: AbortSignal;
};

/**
 * Fetches chunks of a block from another host's agent or stager, or from the
 * origin, which is the weight store.
 */
export class ChunkFetcher {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Returns the bytes of the chunks, concatenated in order. */
  fetch(request: FetchRequest): Promise<Result<Buffer, string>> {
    return request.source === ""
      ? this.#fetchFromOrigin(request)
      : this.#fetchFromPeer(request);
  }

  /** The weight store serves one chunk per request. */
  async #fetchFromOrigin(
    request: FetchRequest,
  ): Promise<Result<Buffer, string>> {
    const { manifest, chunks, signal, store } = request;
    const { pacer, weightStoreFormat } = this.#options;
    const parts: Buffer[] = [];
    for (const chunk of chunks) {
      const part = await fetchBytes({
        ...weightStoreFormat.buildChunkRequest(store, manifest, chunk),
        expectedBytes: chunkSizeBytes(manifest, chunk),
        pacer,
        signal,
        isFromStore: true,
      });
      if (part.isErr) return part;
      parts.push(part.value);
    }
    return Result.ok(Buffer.concat(parts));
  }

  #fetchFromPeer(request: FetchRequest): Promise<Result<Buffer, string>> {
    const { manifest, chunks, signal, source } = request;
    const { dataCentre, pacer } = this.#options;
    const version = encodeURIComponent(versionName(manifest));
    return fetchBytes({
      url: `http://${source}/chunks/${version}/${chunks.join(",")}`,
      headers: { "Teaselrouter-Data-Centre": dataCentre },
      expectedBytes: chunks.reduce(
        (sum, chunk) => sum + chunkSizeBytes(manifest, chunk),
        0,
      ),
      pacer,
      signal,
      isFromStore: false,
    });
  }
}

function chunkSizeBytes(manifest: WeightsManifest, chunk: number): number {
  const { chunk_bytes, total_bytes } = manifest;
  return Math.min(chunk_bytes, total_bytes - chunk * chunk_bytes);
}
