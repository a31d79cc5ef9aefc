import { connect, createServer, type Server, type Socket } from "node:net";

type Mode = "open" | "cut" | "silent";

/** A link that can be cut, or go silent for good on its old connections. */
export class Relay {
  readonly address: string;
  #to: string;
  #mode: Mode = "open";
  #server: Server;
  #pairs = new Set<{ near: Socket; far: Socket; silent: boolean }>();

  constructor(address: string, to: string) {
    this.address = address;
    this.#to = to;
    this.#server = createServer((near) => this.#accept(near));
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

  /** Nothing passes, and connections break. */
  cut(): void {
    this.#mode = "cut";
    this.#closeAll();
  }

  /** Nothing passes, and nobody is told: as when packets are dropped. */
  silence(): void {
    this.#mode = "silent";
    this.silenceOld();
  }

  /** Open connections pass nothing for good; new ones work. */
  silenceOld(): void {
    for (const pair of this.#pairs) pair.silent = true;
  }

  heal(): void {
    this.#mode = "open";
    for (const pair of this.#pairs) {
      if (!pair.silent) continue;
      pair.near.destroy();
      pair.far.destroy();
    }
  }

  #accept(near: Socket): void {
    near.on("error", () => near.destroy());
    if (this.#mode === "cut") {
      near.destroy();
      return;
    }
    const [host, port] = this.#to.split(":");
    const far = connect({ host: host!, port: Number(port) });
    const pair = { near, far, silent: this.#mode === "silent" };
    this.#pairs.add(pair);
    const close = () => {
      this.#pairs.delete(pair);
      if (pair.silent) return;
      near.destroy();
      far.destroy();
    };
    far.on("error", () => far.destroy());
    near.on("close", close);
    far.on("close", close);
    this.#pass(pair, near, far);
    this.#pass(pair, far, near);
  }

  #pass(pair: { silent: boolean }, from: Socket, to: Socket): void {
    from.on("data", (bytes) => {
      if (pair.silent) return;
      if (!to.write(bytes)) {
        from.pause();
        to.once("drain", () => from.resume());
      }
    });
  }

  #closeAll(): void {
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    this.#pairs.clear();
  }
}
