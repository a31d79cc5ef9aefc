import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
  createServer as createHttp2Server,
  type Http2Server,
  type Http2Session,
} from "node:http2";
import { createServer, type Server } from "node:net";
import type { Result } from "true-myth";
import { MAX_MESSAGE_BYTES } from "./max_message_bytes.ts";
import { MIN_COMPRESSED_BYTES } from "./min_compressed_bytes.ts";
import { listen } from "./listen.ts";

type Options = {
  routes: (router: ConnectRouter) => void;
  /** Whether to accept a connection from this IP address now; all if absent. */
  mayConnect?: (ip: string) => boolean;
};

/** Serves this process's Connect RPC services over HTTP/2 without TLS. */
export class InternalServer {
  #listener: Server;
  #server: Http2Server;
  #sessions = new Set<Http2Session>();

  constructor({ routes, mayConnect = () => true }: Options) {
    this.#server = createHttp2Server(
      connectNodeAdapter({
        routes,
        compressMinBytes: MIN_COMPRESSED_BYTES,
        readMaxBytes: MAX_MESSAGE_BYTES,
      }),
    );
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      session.on("close", () => this.#sessions.delete(session));
      session.on("error", () => session.destroy());
    });
    // Refused before the HTTP/2 server sees the connection: setting up a
    // session costs some milliseconds, closing a connection next to nothing.
    this.#listener = createServer((socket) => {
      if (mayConnect(socket.remoteAddress ?? "")) {
        this.#server.emit("connection", socket);
      } else socket.destroy();
    });
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#listener, address);
  }

  /** Stops listening and destroys the open sessions. */
  close(): void {
    this.#listener.close();
    for (const session of this.#sessions) session.destroy();
  }
}
