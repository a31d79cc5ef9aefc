import { createServer, type Server } from "node:http";
import type { EventLog } from "../log/event_log.ts";
import type { ChunkSender } from "../spread/chunk_sender.ts";

type Options = { chunks: ChunkSender; log: EventLog };

/** Serves other stagers this one's chunks: GET /chunks/VERSION/CHUNK. */
export function createChunkServer({ chunks, log }: Options): Server {
  return createServer((request, response) => {
    response.on("error", () => undefined);
    const parts = (request.url ?? "").split("/").slice(1)
      .map(decodeURIComponent);
    if (request.method !== "GET" || parts[0] !== "chunks") {
      return void response.writeHead(404).end();
    }
    chunks.send(request, response, parts).catch((error) => {
      log.warn("chunk-not-sent", { reason: String(error) });
      response.destroy();
    });
  });
}
