import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { LinkPacer } from "./link_pacer.ts";
import type { WeightsCache } from "./weights_cache.ts";

const SLICE_BYTES = 65_536;
/** In one exchange. */
const MOST_CHUNKS = 64;

type Options = {
  dataCentre: string;
  cache: WeightsCache;
  /** This host's link. */
  link: LinkPacer;
  /** What this host may send to each other data centre; 0 is not limited. */
  regionBytesPerSecond: number;
  /** Sent at a time: what a live answer may have to wait behind. */
  sliceBytes?: number;
};

/** Gives chunks to other agents, within this host's share of the links. */
export class ChunkSender {
  #options: Options;
  #regionLinks = new Map<string, LinkPacer>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** Answers GET /chunks/{version}/{chunk,chunk}, given as its parts. */
  async send(
    request: IncomingMessage,
    response: ServerResponse,
    parts: string[],
  ): Promise<void> {
    const bytes = this.#bytesOf(parts[1] ?? "", parts[2] ?? "");
    if (bytes === undefined) {
      response.writeHead(404).end();
      return;
    }
    const { dataCentre, link } = this.#options;
    const header = request.headers["teaselrouter-data-centre"];
    const to = typeof header === "string" ? header : dataCentre;
    const pacers = to === dataCentre ? [link] : [link, this.#regionLink(to)];
    response.writeHead(200, { "Content-Length": bytes.length });
    await this.#sendPaced(response, bytes, pacers);
    response.end();
  }

  /** Undefined where one of the chunks is not held. */
  #bytesOf(version: string, chunks: string): Buffer | undefined {
    const numbers = chunks.split(",").map(Number);
    if (numbers.length > MOST_CHUNKS) return undefined;
    const found = numbers.flatMap((chunk) =>
      this.#options.cache.chunk(version, chunk) ?? []
    );
    return found.length === numbers.length ? Buffer.concat(found) : undefined;
  }

  #regionLink(dataCentre: string): LinkPacer {
    let pacer = this.#regionLinks.get(dataCentre);
    if (pacer === undefined) {
      pacer = new LinkPacer(this.#options.regionBytesPerSecond);
      this.#regionLinks.set(dataCentre, pacer);
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
      for (const pacer of pacers) await pacer.take(slice.length);
      if (response.destroyed) return;
      if (!response.write(slice)) await once(response, "drain");
    }
  }
}
