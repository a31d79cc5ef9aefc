import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { once } from "node:events";
import type { Result } from "true-myth";
import { describeIssue } from "../http/describe_issue.ts";
import { readBody } from "../http/read_body.ts";
import { sendProblem } from "../http/send_problem.ts";
import { listen } from "../transport/listen.ts";
import type { AgentState } from "./agent_state.ts";
import { announceSchema } from "./announce_schema.ts";
import { ChunkSender } from "../spread/chunk_sender.ts";
import type { LinkPacer } from "../spread/link_pacer.ts";
import type { WeightsCache } from "../spread/weights_cache.ts";

const MOST_ANNOUNCEMENT_BYTES = 16_384;
const IDLE_MILLISECONDS = 5_000;

type Options = {
  dataCentre: string;
  state: AgentState;
  cache: WeightsCache;
  /** This host's link. */
  link: LinkPacer;
  /** What this host may send to each other data centre; 0 is not limited. */
  regionBytesPerSecond: number;
};

/** The agent's port: announcements, chunks for peers, weights for engines. */
export class AgentServer {
  #options: Options;
  #server: Server;
  #chunks: ChunkSender;

  constructor(options: Options) {
    this.#options = options;
    this.#chunks = new ChunkSender(options);
    this.#server = createServer((request, response) => {
      response.on("error", () => undefined);
      this.#handle(request, response).catch(() => response.destroy());
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
    const parts = (request.url ?? "").split("/").slice(1)
      .map(decodeURIComponent);
    if (request.method === "POST" && request.url === "/v1/announce") {
      return await this.#announce(request, response);
    }
    if (request.method === "GET" && parts[0] === "chunks") {
      return await this.#chunks.send(request, response, parts);
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

  async #announce(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, {
      maximumBytes: MOST_ANNOUNCEMENT_BYTES,
      idleMilliseconds: IDLE_MILLISECONDS,
    });
    if (body.isErr) return sendProblem(response, body.error);
    const checked = announceSchema.safeParse(parseJson(body.value));
    if (!checked.success) {
      return sendProblem(response, {
        status: 400,
        type: "bad-announcement",
        ...describeIssue(checked.error),
        outcome: "not-run",
      });
    }
    this.#options.state.announce(checked.data, Date.now());
    response.writeHead(204).end();
  }

  /** The engine on this host reads a complete version, never part of one. */
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

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch {
    return undefined;
  }
}
