import { type AddressInfo, createServer, type Socket } from "node:net";
import { FLOODS } from "./floods_fixture.ts";

const WAIT_MILLISECONDS = 5_000;

/**
 * A server for tests that answers each request with bytes without end, until
 * the connection is closed.
 */
export class FloodingServer {
  address = "";
  bytesSent = 0;
  #flood: { first: string; rest: string };
  #sockets = new Set<Socket>();
  #server = createServer((socket) => {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this.#sockets.delete(socket));
    socket.once("data", () => this.#send(socket));
  });

  constructor(kind: keyof typeof FLOODS) {
    this.#flood = FLOODS[kind];
  }

  async open(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Whether all connections are closed within some seconds. */
  async isLeft(): Promise<boolean> {
    const until = performance.now() + WAIT_MILLISECONDS;
    while (this.#sockets.size > 0 && performance.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    return this.#sockets.size === 0;
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #send(socket: Socket): void {
    const { first, rest } = this.#flood;
    socket.write(first);
    const sendMore = () => {
      if (socket.destroyed) return;
      this.bytesSent += rest.length;
      if (socket.write(rest)) setImmediate(sendMore);
      else socket.once("drain", sendMore);
    };
    sendMore();
  }
}
