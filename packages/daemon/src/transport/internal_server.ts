import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
  createServer as createHttp2Server,
  type Http2Server,
  type Http2Session,
} from "node:http2";
import { createServer, type Server } from "node:net";
import type { Result } from "true-myth";
import { COMPRESSED_BYTES } from "./compressed_bytes.ts";
import { listen } from "./listen.ts";

type Options = {
  routes: (router: ConnectRouter) => void;
  /** Whether a connection from this IP address is taken in now. */
  mayConnect?: (ip: string) => boolean;
};

/** Serves this process's connect services over HTTP/2 without TLS. */
export class InternalServer {
  #listener: Server;
  #server: Http2Server;
  #sessions = new Set<Http2Session>();

  constructor({ routes, mayConnect = () => true }: Options) {
    this.#server = createHttp2Server(
      connectNodeAdapter({ routes, compressMinBytes: COMPRESSED_BYTES }),
    );
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      session.on("close", () => this.#sessions.delete(session));
      session.on("error", () => session.destroy());
    });
    // Taking a session in costs some milliseconds, closing a connection
    // hardly anything.
    this.#listener = createServer((socket) => {
      if (mayConnect(socket.remoteAddress ?? "")) {
        this.#server.emit("connection", socket);
      } else socket.destroy();
    });
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#listener, address);
  }

  /** Ends listening and what is still connected. */
  close(): void {
    this.#listener.close();
    for (const session of this.#sessions) session.destroy();
  }
}
