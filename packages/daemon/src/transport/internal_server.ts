import { ConnectionRoom } from "@teaselrouter/core/callers/connection_room.ts";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
  createServer as createHttp2Server,
  type Http2Server,
  type Http2Session,
  type Http2Stream,
} from "node:http2";
import { createServer, type Server, type Socket } from "node:net";
import type { Result } from "true-myth";
import type { CallerIntake } from "../http/caller_intake.ts";
import { boundMessages } from "./bound_messages.ts";
import { FAST_GZIP } from "./fast_gzip.ts";
import { MAX_MESSAGE_BYTES } from "./max_message_bytes.ts";
import { MIN_COMPRESSED_BYTES } from "./min_compressed_bytes.ts";
import { listen } from "./listen.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

/** Of a connection; calls to an agent may be more. */
const USUAL_STREAMS = 16;

type Options = {
  routes: (router: ConnectRouter) => void;
  intake: CallerIntake;
  /** Whether to accept a connection from this IP address now; all if absent. */
  mayConnect?: (ip: string) => boolean;
};

/** Serves this process's Connect RPC services over HTTP/2 without TLS. */
export class InternalServer {
  #listener: Server;
  #server: Http2Server;
  #sessions = new Set<Http2Session>();
  #intake: CallerIntake;
  #room: ConnectionRoom<string>;

  constructor({ routes, intake, mayConnect = () => true }: Options) {
    this.#intake = intake;
    this.#room = new ConnectionRoom(intake.share.hostConnections);
    const handle = connectNodeAdapter({
      routes,
      acceptCompression: [FAST_GZIP],
      compressMinBytes: MIN_COMPRESSED_BYTES,
      readMaxBytes: MAX_MESSAGE_BYTES,
      // Each takes many times its bytes.
      binaryOptions: { readUnknownFields: false },
    });
    this.#server = createHttp2Server((request, response) => {
      boundMessages(request, intake);
      handle(request, response);
    });
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      this.#countStreams(session);
      session.on("close", () => this.#sessions.delete(session));
      session.on("error", () => session.destroy());
      session.once("stream", () => {
        const peer = describePeer(session.socket);
        this.#room.markBusy(peer, monotonicMilliseconds());
      });
    });
    // Refused before the HTTP/2 server sees the connection: setting up a
    // session costs some milliseconds, closing a connection next to nothing.
    this.#listener = createServer((socket) => {
      const isAdmitted = mayConnect(socket.remoteAddress ?? "") &&
        this.#admit(socket);
      if (isAdmitted) this.#server.emit("connection", socket);
      else socket.destroy();
    });
  }

  /** Other hosts call at once; a connection without a call goes first. */
  #admit(socket: Socket): boolean {
    const key = describePeer(socket);
    const close = () => {
      this.#intake.countClosed("internal");
      socket.destroy();
    };
    const isAdmitted = this.#room.admit(key, monotonicMilliseconds(), close);
    if (isAdmitted) socket.once("close", () => this.#room.remove(key));
    else this.#intake.countClosed("internal");
    return isAdmitted;
  }

  /** Where streams have no room, the connection goes that bears most of them. */
  #countStreams(session: Http2Session): void {
    const { streams } = this.#intake;
    let open = 0;
    session.on("stream", (stream: Http2Stream) => {
      open += 1;
      const victim = streams.record(session, open - USUAL_STREAMS);
      if (victim !== undefined) {
        this.#intake.countClosed("internal");
        victim.destroy();
      }
      stream.once("close", () => {
        open -= 1;
        if (session.destroyed) return;
        streams.record(session, open - USUAL_STREAMS);
      });
    });
    session.once("close", () => streams.remove(session));
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

function describePeer(
  { remoteAddress, remotePort }: {
    remoteAddress?: string;
    remotePort?: number;
  },
): string {
  return `${remoteAddress} ${remotePort}`;
}
