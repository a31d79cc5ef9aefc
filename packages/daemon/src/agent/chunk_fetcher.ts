import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import { fetchBytes } from "./fetch_bytes.ts";
import type { LinkPacer } from "./link_pacer.ts";

type Options = { dataCentre: string; pacer: LinkPacer };

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
    const { manifest, chunk, source, signal } = want;
    const first = chunk * manifest.chunk_bytes;
    const expectedBytes = Math.min(
      manifest.chunk_bytes,
      manifest.total_bytes - first,
    );
    const { dataCentre, pacer } = this.#options;
    const common = { expectedBytes, pacer, signal };
    if (source === "") {
      const name = encodeURIComponent(manifest.name);
      const version = encodeURIComponent(manifest.version);
      return fetchBytes({
        ...common,
        url: `${want.store}/weights/${name}/${version}`,
        headers: { Range: `bytes=${first}-${first + expectedBytes - 1}` },
      });
    }
    const version = encodeURIComponent(versionName(manifest));
    return fetchBytes({
      ...common,
      url: `http://${source}/chunks/${version}/${chunk}`,
      headers: { "Teaselrouter-Data-Centre": dataCentre },
    });
  }
}
