import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { EventLog } from "../log/event_log.ts";
import { boundConnections } from "../http/bound_connections.ts";
import type { CallerIntake } from "../http/caller_intake.ts";
import { drainRefused } from "../http/drain_refused.ts";
import { handleInTurn } from "../http/handle_in_turn.ts";
import { decodePath } from "../http/decode_path.ts";
import type { ChunkSender } from "../spread/chunk_sender.ts";

type Options = {
  chunkSender: ChunkSender;
  log: EventLog;
  intake: CallerIntake;
};

/**
 * Creates the HTTP server from which other stagers fetch the chunks that this
 * stager holds: GET /chunks/VERSION/CHUNK,CHUNK.
 */
export function createChunkServer(
  { chunkSender, log, intake }: Options,
): Server {
  const handle = (request: IncomingMessage, response: ServerResponse) => {
    response.on("error", () => undefined);
    drainRefused(request, intake);
    const pathSegments = decodePath(request.url ?? "");
    if (request.method !== "GET" || pathSegments[0] !== "chunks") {
      return void response.writeHead(404).end();
    }
    chunkSender.send(request, response, pathSegments).catch((error) => {
      log.warn("chunk-not-sent", { reason: String(error) });
      response.destroy();
    });
  };
  const server = createServer(
    handleInTurn(handle, { intake, port: "chunks", maxHandled: 1 }),
  );
  boundConnections(server, {
    maximum: intake.share.hostConnections,
    onClosed: () => intake.countClosed("chunks"),
  });
  return server;
}
