import { createConnection, type Socket } from "node:net";

/** An answer read from a connection; its status is 0 if it isn't whole. */
export type Answer = { status: number; head: string; text: string };

type Parsed = Answer & { bytes: number };

/**
 * A client's connection, kept open for many requests. Takes raw text, so that a
 * request can be sent in parts.
 */
export class KeptConnection {
  /** Everything received that no answer has been read from. */
  received = "";
  isClosed = false;
  #socket: Socket;
  #wake = () => {};

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setEncoding("latin1");
    socket.on("data", (text) => {
      this.received += text;
      this.#wake();
    });
    socket.on("error", () => undefined);
    for (const event of ["end", "close"]) {
      socket.on(event, () => {
        this.isClosed = true;
        this.#wake();
      });
    }
  }

  static open(url: string): Promise<KeptConnection> {
    const { hostname, port } = new URL(url);
    return new Promise((resolve, reject) => {
      // Can still send when the other side has ended, like a client whose request
      // crosses the close.
      const socket = createConnection({
        port: Number(port),
        host: hostname,
        allowHalfOpen: true,
      });
      socket.once("error", reject);
      socket.once("connect", () => resolve(new KeptConnection(socket)));
    });
  }

  send(text: string): void {
    this.#socket.write(text);
  }

  async ask(text: string): Promise<Answer> {
    this.send(text);
    return await this.read();
  }

  /** Reads the next answer; status 0 if the connection ends before its end. */
  async read(): Promise<Answer> {
    while (true) {
      const parsed = parseAnswer(this.received);
      if (parsed !== undefined) {
        this.received = this.received.slice(parsed.bytes);
        return parsed;
      }
      if (this.isClosed) return { status: 0, head: "", text: this.received };
      await this.#waitForChange();
    }
  }

  /** Waits until some bytes have arrived that no answer was read from. */
  async waitForBytes(): Promise<void> {
    while (this.received === "" && !this.isClosed) await this.#waitForChange();
  }

  close(): void {
    this.#socket.destroy();
  }

  #waitForChange(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }
}

/** Undefined while the answer isn't whole, and for one that can't be read. */
function parseAnswer(text: string): Parsed | undefined {
  const headEnd = text.indexOf("\r\n\r\n") + 4;
  if (headEnd < 4) return undefined;
  const head = text.slice(0, headEnd);
  const status = Number(head.split(" ")[1]);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (length === undefined) return parseChunks({ status, head, text });
  const bytes = headEnd + Number(length);
  if (text.length < bytes) return undefined;
  return { status, head, text: text.slice(headEnd, bytes), bytes };
}

function parseChunks({ status, head, text }: Answer): Parsed | undefined {
  let position = head.length;
  let body = "";
  while (true) {
    const lineEnd = text.indexOf("\r\n", position);
    if (lineEnd < 0) return undefined;
    const size = parseInt(text.slice(position, lineEnd), 16);
    const chunkEnd = lineEnd + 2 + size;
    if (Number.isNaN(size) || text.length < chunkEnd + 2) return undefined;
    body += text.slice(lineEnd + 2, chunkEnd);
    position = chunkEnd + 2;
    if (size === 0) return { status, head, text: body, bytes: position };
  }
}
