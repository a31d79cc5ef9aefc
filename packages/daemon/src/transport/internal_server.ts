import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer, type Http2Server, type Http2Session } from "node:http2";
import type { Result } from "true-myth";
import { listen } from "./listen.ts";

/** Serves this process's connect services over HTTP/2 without TLS. */
export class InternalServer {
  #server: Http2Server;
  #sessions = new Set<Http2Session>();

  constructor(routes: (router: ConnectRouter) => void) {
    this.#server = createServer(connectNodeAdapter({ routes }));
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      session.on("close", () => this.#sessions.delete(session));
      session.on("error", () => session.destroy());
    });
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  /** Ends listening and what is still connected. */
  close(): void {
    this.#server.close();
    for (const session of this.#sessions) session.destroy();
  }
}
