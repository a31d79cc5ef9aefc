import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { LinkPacer } from "./link_pacer.ts";
import type { WeightsCache } from "./weights_cache.ts";

const SLICE_BYTES = 65_536;
const MAX_CHUNKS_PER_REQUEST = 64;

type Options = {
  dataCentre: string;
  cache: WeightsCache;
  /** Limits everything that this sender sends over the host's link. */
  linkPacer: LinkPacer;
  /** Rate limit towards each other data centre; 0 for no limit. */
  dataCentreBytesPerSecond: number;
  /** Sent at once; a live response may have to wait behind it. */
  sliceBytes?: number;
};

/**
 * Sends chunks to other hosts, limited to this host's share of its own link
 * and of the links to other data centres.
 */
export class ChunkSender {
  #options: Options;
  #dataCentrePacers = new Map<string, LinkPacer>();

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Answers GET /chunks/{version}/{chunk,chunk}.
   *
   * @param pathSegments decoded: "chunks", the version, the chunk numbers.
   */
  async send(
    request: IncomingMessage,
    response: ServerResponse,
    pathSegments: string[],
  ): Promise<void> {
    const chunks = this.#readChunks(
      pathSegments[1] ?? "",
      pathSegments[2] ?? "",
    );
    if (chunks === undefined) {
      response.writeHead(404).end();
      return;
    }
    const { dataCentre, linkPacer } = this.#options;
    const header = request.headers["teaselrouter-data-centre"];
    const destination = typeof header === "string" ? header : dataCentre;
    const pacers = destination === dataCentre
      ? [linkPacer]
      : [linkPacer, this.#getDataCentrePacer(destination)];
    const length = chunks.reduce((bytes, chunk) => bytes + chunk.length, 0);
    response.writeHead(200, { "Content-Length": length });
    for (const chunk of chunks) await this.#sendPaced(response, chunk, pacers);
    response.end();
  }

  /**
   * Undefined if one of the chunks is not in the cache, or if more are asked
   * for than one request may fetch. Nothing is copied: who asks may not read.
   */
  #readChunks(version: string, chunks: string): Buffer[] | undefined {
    const numbers = chunks.split(",").map(Number);
    if (numbers.length > MAX_CHUNKS_PER_REQUEST) return undefined;
    const found = numbers.flatMap((chunk) =>
      this.#options.cache.chunk(version, chunk) ?? []
    );
    return found.length === numbers.length ? found : undefined;
  }

  #getDataCentrePacer(dataCentre: string): LinkPacer {
    let pacer = this.#dataCentrePacers.get(dataCentre);
    if (pacer === undefined) {
      pacer = new LinkPacer(this.#options.dataCentreBytesPerSecond);
      this.#dataCentrePacers.set(dataCentre, pacer);
    }
    return pacer;
  }

  async #sendPaced(
    response: ServerResponse,
    bytes: Buffer,
    pacers: LinkPacer[],
  ): Promise<void> {
    const { sliceBytes = SLICE_BYTES } = this.#options;
    for (let at = 0; at < bytes.length; at += sliceBytes) {
      const slice = bytes.subarray(at, at + sliceBytes);
      for (const pacer of pacers) await pacer.waitFor(slice.length);
      if (response.destroyed) return;
      if (!response.write(slice)) await once(response, "drain");
    }
  }
}
