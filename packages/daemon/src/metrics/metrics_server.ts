import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Result } from "true-myth";
import { boundConnections } from "../http/bound_connections.ts";
import type { CallerIntake } from "../http/caller_intake.ts";
import { drainRefused } from "../http/drain_refused.ts";
import { handleInTurn } from "../http/handle_in_turn.ts";
import { listen } from "../transport/listen.ts";
import type { ProcessMetrics } from "./process_metrics.ts";

const METRICS_PATH = "/metrics";

/** Serves a process's metrics as text at `/metrics`. */
export class MetricsServer {
  #server: Server;

  constructor(metrics: ProcessMetrics, intake: CallerIntake) {
    const { registry } = metrics;
    const handle = async (
      request: IncomingMessage,
      response: ServerResponse,
    ) => {
      drainRefused(request, intake);
      if (request.url?.split("?")[0] !== METRICS_PATH) {
        return void response.writeHead(404).end();
      }
      const text = await registry.metrics();
      response.writeHead(200, { "Content-Type": registry.contentType });
      response.end(text);
    };
    this.#server = createServer(handleInTurn(handle, {
      intake,
      port: "metrics",
      maxHandled: 1,
    }));
    boundConnections(this.#server, {
      maximum: intake.share.sideConnections,
      onClosed: () => intake.countClosed("metrics"),
    });
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
