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
  /** How the weight store is asked. */
  storeFormat: WeightStoreFormat;
};

type Want = {
  manifest: WeightsManifest;
  store: string;
  /** Of one block, in order. */
  chunks: number[];
  /** Another agent's chunk address; empty for the origin. */
  source: string;
  signal: AbortSignal;
};

/** Fetches chunks of a block from another agent or from the origin. */
export class ChunkFetcher {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  /** The chunks one behind the other. */
  fetch(want: Want): Promise<Result<Buffer, string>> {
    return want.source === "" ? this.#draw(want) : this.#fetchFromPeer(want);
  }

  /** The store gives one chunk at a time. */
  async #draw(want: Want): Promise<Result<Buffer, string>> {
    const { manifest, chunks, signal, store } = want;
    const { pacer, storeFormat } = this.#options;
    const parts: Buffer[] = [];
    for (const chunk of chunks) {
      const part = await fetchBytes({
        ...storeFormat.chunkRequest(store, manifest, chunk),
        expectedBytes: bytesOf(manifest, chunk),
        pacer,
        signal,
        isFromStore: true,
      });
      if (part.isErr) return part;
      parts.push(part.value);
    }
    return Result.ok(Buffer.concat(parts));
  }

  #fetchFromPeer(want: Want): Promise<Result<Buffer, string>> {
    const { manifest, chunks, signal, source } = want;
    const { dataCentre, pacer } = this.#options;
    const version = encodeURIComponent(versionName(manifest));
    return fetchBytes({
      url: `http://${source}/chunks/${version}/${chunks.join(",")}`,
      headers: { "Teaselrouter-Data-Centre": dataCentre },
      expectedBytes: chunks.reduce(
        (sum, chunk) => sum + bytesOf(manifest, chunk),
        0,
      ),
      pacer,
      signal,
      isFromStore: false,
    });
  }
}

function bytesOf(manifest: WeightsManifest, chunk: number): number {
  const { chunk_bytes, total_bytes } = manifest;
  return Math.min(chunk_bytes, total_bytes - chunk * chunk_bytes);
}
