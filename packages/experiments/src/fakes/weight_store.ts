import { LinkPacer } from "@teaselrouter/daemon/spread/link_pacer.ts";
import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import { Buffer } from "node:buffer";
import { createServer, type ServerResponse } from "node:http";
import { sha256Hex } from "./sha256_hex.ts";
import { generateWeights } from "./generate_weights.ts";

const SLICE_BYTES = 65_536;
const RANGE = /^bytes=(\d+)-(\d+)$/;

type Options = {
  address: string;
  bytesPerSecond: number;
  name: string;
  totalBytes: number;
  chunkBytes: number;
  commonChunks: number;
};

/**
 * A rate-limited HTTP weight store. Serves the manifests of one model and its
 * weights, one whole chunk per range request. GET /sent returns the number of
 * bytes of weights sent.
 */
export class WeightStore {
  bytesSent = 0;
  /** Flips one bit in each chunk that is sent, as a damaged disk would. */
  isCorrupt = false;
  #options: Options;
  #pacer: LinkPacer;
  #versions = new Map<string, Buffer[]>();
  #server = createServer((request, response) => {
    this.#handle(request.url ?? "", String(request.headers.range), response)
      .catch(() => response.destroy());
  });

  constructor(options: Options) {
    this.#options = options;
    this.#pacer = new LinkPacer(options.bytesPerSecond);
  }

  async start(): Promise<void> {
    const listening = await listen(this.#server, this.#options.address);
    if (listening.isErr) throw new Error(listening.error);
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    url: string,
    range: string,
    response: ServerResponse,
  ): Promise<void> {
    const [, kind, name, version] = url.split("/").map(decodeURIComponent);
    if (kind === "sent") return void response.end(String(this.bytesSent));
    if (name !== this.#options.name || version === undefined) {
      return void response.writeHead(404).end();
    }
    if (kind === "manifests") return this.#sendManifest(version, response);
    const match = RANGE.exec(range);
    if (kind !== "weights" || match === null) {
      return void response.writeHead(416).end();
    }
    const first = Number(match[1]);
    await this.#sendRange(version, response, {
      first,
      length: Number(match[2]) + 1 - first,
    });
  }

  #sendManifest(version: string, response: ServerResponse): void {
    const { name, totalBytes, chunkBytes } = this.#options;
    response.setHeader("Content-Type", "application/json");
    response.end(JSON.stringify({
      name,
      version,
      total_bytes: totalBytes,
      chunk_bytes: chunkBytes,
      chunks: this.#chunks(version).map((chunk) => sha256Hex([chunk])),
    }));
  }

  async #sendRange(
    version: string,
    response: ServerResponse,
    range: { first: number; length: number },
  ): Promise<void> {
    const { chunkBytes } = this.#options;
    const chunk = this.#chunks(version)[Math.floor(range.first / chunkBytes)];
    if (chunk === undefined || chunk.length !== range.length) {
      return void response.writeHead(416).end();
    }
    const bytes = this.isCorrupt ? Buffer.from(chunk) : chunk;
    if (this.isCorrupt) bytes[0] = bytes[0]! ^ 1;
    response.writeHead(206, { "Content-Length": bytes.length });
    for (let at = 0; at < bytes.length; at += SLICE_BYTES) {
      const slice = bytes.subarray(at, at + SLICE_BYTES);
      await this.#pacer.waitFor(slice.length);
      if (response.destroyed) return;
      this.bytesSent += slice.length;
      response.write(slice);
    }
    response.end();
  }

  #chunks(version: string): Buffer[] {
    let chunks = this.#versions.get(version);
    if (chunks === undefined) {
      chunks = generateWeights({ ...this.#options, version });
      this.#versions.set(version, chunks);
    }
    return chunks;
  }
}
