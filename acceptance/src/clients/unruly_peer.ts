import { Buffer } from "node:buffer";
import {
  type ClientHttp2Session,
  type ClientHttp2Stream,
  connect,
} from "node:http2";
import { gzipSync } from "node:zlib";

type Target = { host: string; port: number };

const PART = Buffer.alloc(65_536, "x");
const MESSAGE_TYPE = "application/proto";
const STREAM_TYPE = "application/connect+proto";
/** Flags and length of a message in a stream, of which no end comes. */
const LONG_MESSAGE_HEAD = Buffer.from([0, 3, 255, 255, 255]);

/** A caller that speaks as the system's own processes do, and sends what none does. */
export class UnrulyPeer {
  #session: ClientHttp2Session;

  constructor({ host, port }: Target) {
    this.#session = connect(`http://${host}:${port}`);
    this.#session.on("error", () => undefined);
  }

  /** Sends one message without an end, whatever it is answered. */
  sendWithoutEnd(path: string): void {
    this.#sendParts(this.#open(path, { "content-type": MESSAGE_TYPE }));
  }

  /** Begins so many streams, each of a message that stops short of its end. */
  stopShort(path: string, streams: number, bytes: number): void {
    for (let count = 0; count < streams; count += 1) {
      const stream = this.#open(path, { "content-type": STREAM_TYPE });
      stream.write(LONG_MESSAGE_HEAD);
      stream.write(Buffer.alloc(bytes, "x"));
    }
  }

  /** Sends messages that are small as sent, and so many bytes as read. */
  sendCompressed(path: string, messages: number, bytes: number): void {
    const body = gzipSync(Buffer.alloc(bytes));
    for (let count = 0; count < messages; count += 1) {
      const headers = {
        "content-type": MESSAGE_TYPE,
        "content-encoding": "gzip",
      };
      this.#open(path, headers).end(body);
    }
  }

  leave(): void {
    this.#session.destroy();
  }

  #open(path: string, headers: Record<string, string>): ClientHttp2Stream {
    const stream = this.#session.request({
      ":method": "POST",
      ":path": path,
      "connect-protocol-version": "1",
      ...headers,
    });
    stream.on("error", () => undefined);
    stream.resume();
    return stream;
  }

  #sendParts(stream: ClientHttp2Stream): void {
    const send = () => {
      while (!stream.destroyed && !stream.writableEnded) {
        if (!stream.write(PART)) return void stream.once("drain", send);
      }
    };
    send();
  }
}
