import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { seededBytes } from "@teaselrouter/experiments/fakes/seeded_bytes.ts";

export const CHUNKS = 6;
const CHUNK_BYTES = 4_096;

/**
 * Fake weight store. Serves any version of any model; the bytes are generated
 * from the version number.
 */
export class FakeWeightStore {
  #server = createServer((request, response) => {
    const url = new URL(request.url ?? "", "http://store");
    const version = Number(url.searchParams.get("version"));
    const [, kind, model] = url.pathname.split("/");
    if (kind === "manifest") {
      const digests = Array.from(
        { length: CHUNKS },
        (_, chunk) => this.digest(version, chunk),
      );
      response.end(
        JSON.stringify({ model, version, chunkBytes: CHUNK_BYTES, digests }),
      );
      return;
    }
    const chunk = Number(url.searchParams.get("chunkCount"));
    response.end(this.chunk(version, chunk));
  });

  listen(host: string): Promise<string> {
    return new Promise((resolve) =>
      this.#server.listen(0, host, () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`${host}:${port}`);
      })
    );
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get chunks(): number {
    return CHUNKS;
  }

  chunk(version: number, chunk: number): Buffer {
    return seededBytes(version * 1_000 + chunk, CHUNK_BYTES);
  }

  digest(version: number, chunk: number): string {
    return createHash("sha256").update(this.chunk(version, chunk))
      .digest("hex");
  }
}
