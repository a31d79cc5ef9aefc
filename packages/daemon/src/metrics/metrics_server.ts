import { createServer, type Server } from "node:http";
import type { Result } from "true-myth";
import { listen } from "../transport/listen.ts";
import type { ProcessMetrics } from "./process_metrics.ts";

const METRICS_PATH = "/metrics";

/** Serves a process's metrics as text at `/metrics`. */
export class MetricsServer {
  #server: Server;

  constructor(metrics: ProcessMetrics) {
    const { registry } = metrics;
    this.#server = createServer(async (request, response) => {
      if (request.url?.split("?")[0] !== METRICS_PATH) {
        return void response.writeHead(404).end();
      }
      const text = await registry.metrics();
      response.writeHead(200, { "Content-Type": registry.contentType });
      response.end(text);
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
