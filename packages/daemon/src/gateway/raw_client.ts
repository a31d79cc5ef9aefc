import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";

const WAIT_MILLISECONDS = 5_000;

/** A client that sends bytes as given and keeps what it receives, for tests. */
export class RawClient {
  readonly socket: Socket;
  /** Code of the error that ended the connection; undefined without one. */
  errorCode: string | undefined;
  /** Whether the connection was reset, also behind bytes that were received. */
  isReset = false;
  #parts: Buffer[] = [];
  #isClosed = false;
  #onChange = new Set<() => void>();

  constructor(port: number, text = "") {
    this.socket = connect({ port, host: "127.0.0.1" });
    this.socket.on("data", (part) => {
      this.#parts.push(part);
      this.#notify();
    });
    this.socket.on("error", (error: { code?: string }) => {
      this.errorCode = error.code;
      this.isReset = true;
    });
    // Bytes and a reset that arrive together are read as a regular end.
    this.socket.prependListener("end", () => {
      this.isReset ||= this.socket.remoteAddress === undefined;
    });
    this.socket.on("close", () => {
      this.#isClosed = true;
      this.#notify();
    });
    if (text !== "") this.send(text);
  }

  get received(): string {
    return Buffer.concat(this.#parts).toString("latin1");
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  send(text: string): void {
    this.socket.write(text);
  }

  /** Waits until the received text matches, or fails. */
  async receive(pattern: RegExp): Promise<void> {
    await this.#waitUntil(() => pattern.test(this.received), String(pattern));
  }

  /** Waits until the connection is closed, and returns all that was received. */
  async readToEnd(): Promise<string> {
    await this.#waitUntil(() => this.#isClosed, "the end");
    return this.received;
  }

  #notify(): void {
    for (const check of [...this.#onChange]) check();
  }

  #waitUntil(isDone: () => boolean, what: string): Promise<void> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#onChange.delete(check);
        reject(
          new Error(`waited for ${what}, received: ${this.received}`),
        );
      }, WAIT_MILLISECONDS);
      const check = () => {
        if (!isDone() && !this.#isClosed) return;
        clearTimeout(timer);
        this.#onChange.delete(check);
        if (isDone()) resolve();
        else reject(new Error(`closed before ${what}: ${this.received}`));
      };
      this.#onChange.add(check);
      check();
    });
  }
}
