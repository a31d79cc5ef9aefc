import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";

type Target = {
  host: string;
  port: number;
  /** Method, path and headers of a proper request, but for its framing. */
  head: string;
};

const PACKET_BYTES = 65_536;
const FIELD_BYTES = 20;
const REQUESTS_A_PACKET = 200;

/** A client that sends what no proper one does, and reads what it is answered. */
export class UnrulyClient {
  readonly socket: Socket;
  #head: string;

  constructor({ host, port, head }: Target) {
    this.#head = head;
    this.socket = connect({ host, port });
    this.socket.on("error", () => undefined);
    this.socket.resume();
  }

  /** Announces a long body and sends it, whatever it is answered. */
  announce(bytes: number): void {
    this.socket.write(`${this.#head}Content-Length: ${bytes}\r\n\r\n`);
    this.#sendWithoutEnd(Buffer.alloc(PACKET_BYTES, "x"));
  }

  /** Sends chunks without an end, whatever it is answered. */
  sendChunks(chunkBytes: number): void {
    this.#beginChunks();
    this.#sendWithoutEnd(buildPacket(chunkBytes, PACKET_BYTES));
  }

  /** Sends so many bytes in chunks, and neither ends the body nor leaves. */
  stopShort(chunkBytes: number, bytes: number): void {
    this.#beginChunks();
    let left = bytes;
    const send = () => {
      while (left > 0) {
        const count = Math.min(left, Math.max(chunkBytes, PACKET_BYTES / 16));
        left -= count;
        if (!this.socket.write(buildPacket(chunkBytes, count))) {
          return void this.socket.once("drain", send);
        }
      }
    };
    send();
  }

  /** Sends one chunk of one byte in each packet, and doesn't end the body. */
  trickle(intervalMilliseconds: number): void {
    this.#beginChunks();
    this.socket.setNoDelay(true);
    const timer = setInterval(
      () => this.socket.write("1\r\nx\r\n"),
      intervalMilliseconds,
    );
    this.socket.once("close", () => clearInterval(timer));
  }

  /** Sends one request behind the other, and reads no answer. */
  askWithoutReading(): void {
    this.socket.pause();
    const request = `${this.#head}Content-Length: 0\r\n\r\n`;
    this.#sendWithoutEnd(Buffer.from(request.repeat(REQUESTS_A_PACKET)));
  }

  /** Sends so many bytes of a head, in short fields, and doesn't end it. */
  stopWithinLongHead(bytes: number): void {
    const field = `Field: ${"x".repeat(FIELD_BYTES)}\r\n`;
    const count = Math.ceil(bytes / field.length);
    this.socket.write(this.#head + field.repeat(count));
  }

  /** Stops within the head. */
  stopWithinHead(): void {
    this.socket.write(this.#head);
  }

  /** Sends nothing for so long, then asks and reads no answer. */
  askLate(milliseconds: number): void {
    this.socket.pause();
    const timer = setTimeout(() => this.askWithoutReading(), milliseconds);
    this.socket.once("close", () => clearTimeout(timer));
  }

  /** Asks so many times in all, and reads no answer. */
  askWithoutReadingTimes(count: number): void {
    this.socket.pause();
    const request = `${this.#head}Content-Length: 0\r\n\r\n`;
    this.socket.write(request.repeat(count));
  }

  leave(): void {
    this.socket.destroy();
  }

  #beginChunks(): void {
    this.socket.write(`${this.#head}Transfer-Encoding: chunked\r\n\r\n`);
  }

  #sendWithoutEnd(packet: Buffer): void {
    const send = () => {
      while (!this.socket.destroyed) {
        if (!this.socket.write(packet)) {
          return void this.socket.once("drain", send);
        }
      }
    };
    send();
  }
}

/** Chunks of a size, with so many bytes of body in all. */
function buildPacket(chunkBytes: number, bytes: number): Buffer {
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  return Buffer.from(chunk.repeat(Math.max(1, bytes / chunkBytes)));
}
