import { connect, createServer, type Server, type Socket } from "node:net";

type Mode = "open" | "cut" | "silent";

/**
 * A TCP relay that simulates network faults: it can break its connections, or
 * stop forwarding on them without closing them.
 */
export class Relay {
  readonly address: string;
  #target: string;
  #mode: Mode = "open";
  #isHeld = false;
  #server: Server;
  #connections = new Set<
    { client: Socket; upstream: Socket; isSilent: boolean }
  >();

  constructor(address: string, target: string) {
    this.address = address;
    this.#target = target;
    this.#server = createServer((client) => this.#accept(client));
  }

  start(): Promise<void> {
    const [host, port] = this.address.split(":");
    return new Promise((resolve) =>
      this.#server.listen({ host, port: Number(port) }, () => resolve())
    );
  }

  stop(): void {
    this.#server.close();
    this.#closeAll();
  }

  /** Closes all connections, and new ones as soon as they are accepted. */
  cut(): void {
    this.#mode = "cut";
    this.#closeAll();
  }

  /**
   * Stops forwarding on open and new connections without closing them, as when
   * packets are dropped.
   */
  silence(): void {
    this.#mode = "silent";
    this.silenceOpenConnections();
  }

  /** Stops forwarding on open connections for good; new ones work. */
  silenceOpenConnections(): void {
    for (const connection of this.#connections) connection.isSilent = true;
  }

  /**
   * Holds back all that arrives, on open and new connections, until `release`:
   * as if the process behind the relay stood still. Nothing is lost.
   */
  hold(): void {
    this.#isHeld = true;
    for (const { client, upstream } of this.#connections) {
      client.pause();
      upstream.pause();
    }
  }

  release(): void {
    this.#isHeld = false;
    for (const { client, upstream } of this.#connections) {
      client.resume();
      upstream.resume();
    }
  }

  /**
   * Forwards again. Connections that were silent are closed, as their data is
   * lost.
   */
  heal(): void {
    this.#mode = "open";
    for (const connection of this.#connections) {
      if (!connection.isSilent) continue;
      connection.client.destroy();
      connection.upstream.destroy();
    }
  }

  #accept(client: Socket): void {
    client.on("error", () => client.destroy());
    if (this.#mode === "cut") {
      client.destroy();
      return;
    }
    const [host, port] = this.#target.split(":");
    const upstream = connect({ host: host!, port: Number(port) });
    const connection = { client, upstream, isSilent: this.#mode === "silent" };
    this.#connections.add(connection);
    const close = () => {
      this.#connections.delete(connection);
      if (connection.isSilent) return;
      client.destroy();
      upstream.destroy();
    };
    upstream.on("error", () => upstream.destroy());
    client.on("close", close);
    upstream.on("close", close);
    this.#forward(connection, client, upstream);
    this.#forward(connection, upstream, client);
    if (!this.#isHeld) return;
    client.pause();
    upstream.pause();
  }

  #forward(connection: { isSilent: boolean }, from: Socket, to: Socket): void {
    from.on("data", (bytes) => {
      if (connection.isSilent) return;
      if (!to.write(bytes)) {
        from.pause();
        to.once("drain", () => {
          if (!this.#isHeld) from.resume();
        });
      }
    });
  }

  #closeAll(): void {
    for (const { client, upstream } of this.#connections) {
      client.destroy();
      upstream.destroy();
    }
    this.#connections.clear();
  }
}
