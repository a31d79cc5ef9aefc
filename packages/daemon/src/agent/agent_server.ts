import { decodePath } from "../http/decode_path.ts";
import { parseJson } from "../http/parse_json.ts";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { once } from "node:events";
import type { Result } from "true-myth";
import { describeIssue } from "../http/describe_issue.ts";
import { boundConnections } from "../http/bound_connections.ts";
import type { CallerIntake } from "../http/caller_intake.ts";
import { handleInTurn } from "../http/handle_in_turn.ts";
import { readBody } from "../http/read_body.ts";
import { sendProblem } from "../http/send_problem.ts";
import { listen } from "../transport/listen.ts";
import type { AgentState } from "./agent_state.ts";
import { announcementSchema } from "./announcement_schema.ts";
import { ChunkSender } from "../spread/chunk_sender.ts";
import type { LinkPacer } from "../spread/link_pacer.ts";
import type { WeightsCache } from "../spread/weights_cache.ts";

const MAX_ANNOUNCEMENT_BYTES = 16_384;
const IDLE_TIMEOUT_MILLISECONDS = 5_000;

type Options = {
  dataCentre: string;
  state: AgentState;
  cache: WeightsCache;
  /** Rate limiter of this host's network link. */
  linkPacer: LinkPacer;
  /** Limit of what is sent to each other data centre; 0 for no limit. */
  dataCentreBytesPerSecond: number;
  intake: CallerIntake;
};

/**
 * The agent's HTTP server: receives the backend server's announcements, and
 * sends chunks to peers and weights to the engine, which is the same backend
 * server.
 */
export class AgentServer {
  #options: Options;
  #server: Server;
  #chunkSender: ChunkSender;

  constructor(options: Options) {
    this.#options = options;
    this.#chunkSender = new ChunkSender(options);
    const { intake } = options;
    const handle = (request: IncomingMessage, response: ServerResponse) => {
      response.on("error", () => undefined);
      this.#handle(request, response).catch(() => response.destroy());
    };
    this.#server = createServer(handleInTurn(handle, {
      intake,
      port: "agent",
      maxHandled: 1,
    }));
    boundConnections(this.#server, {
      maximum: intake.share.hostConnections,
      onClosed: () => intake.countClosed("agent"),
    });
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parts = decodePath(request.url ?? "");
    if (request.method === "POST" && request.url === "/v1/announce") {
      return await this.#handleAnnouncement(request, response);
    }
    if (request.method === "GET" && parts[0] === "chunks") {
      return await this.#chunkSender.send(request, response, parts);
    }
    if (request.method === "GET" && parts[0] === "weights") {
      return await this.#sendWeights(response, parts[1] ?? "");
    }
    sendProblem(response, {
      status: 404,
      type: "not-found",
      detail: "no such path",
      outcome: "not-run",
    });
  }

  async #handleAnnouncement(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, {
      maximumBytes: MAX_ANNOUNCEMENT_BYTES,
      idleMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
      intake: this.#options.intake,
    });
    if (body.isErr) return sendProblem(response, body.error);
    const text = body.value.bytes.toString("utf8");
    body.value.release();
    const parsed = announcementSchema.safeParse(
      parseJson(text).unwrapOr(undefined),
    );
    if (!parsed.success) {
      return sendProblem(response, {
        status: 400,
        type: "bad-announcement",
        ...describeIssue(parsed.error),
        outcome: "not-run",
      });
    }
    this.#options.state.recordAnnouncement(parsed.data, Date.now());
    response.writeHead(204).end();
  }

  /**
   * Sends a version to the engine on this host. A version that is not complete
   * is a 404, so that the engine never loads part of one.
   */
  async #sendWeights(
    response: ServerResponse,
    version: string,
  ): Promise<void> {
    const { cache } = this.#options;
    const manifest = cache.manifest(version);
    if (manifest === undefined || !cache.isComplete(version)) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(200, { "Content-Length": manifest.total_bytes });
    for (let chunk = 0; chunk < manifest.chunks.length; chunk += 1) {
      const bytes = cache.chunk(version, chunk);
      if (bytes === undefined) return void response.destroy();
      if (!response.write(bytes)) await once(response, "drain");
    }
    response.end();
  }
}
