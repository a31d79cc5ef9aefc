import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import type { StandInStore } from "./stand_in_store.ts";

const EVENTS = 8;
const EVENT_MILLISECONDS = 10;
/** From the beginning of an answer to the end of the process under it. */
const CRASH_MILLISECONDS = 20;
const DOWN_MILLISECONDS = 400;
const FIRST_BORN = 1_000;

type Options = { instance: string; store: StandInStore; model: string };

/** A backend server of the platform: plain requests, streams, and weights. */
export class StandInServer {
  /** Ids of the requests that it ran, in order. */
  readonly ran: string[] = [];
  /** Events of a stream behind which it breaks off; each used once. */
  breaksAfter: number[] = [];
  /** Takes requests and answers nothing more, as a host that froze does. */
  isFrozen = false;
  /** Bodies of requests under which it ends. */
  crashesOn: readonly string[] = [];
  isDown = false;
  /** Requests a second that it names with its answers; undefined for none. */
  limitPerSecond: number | undefined;
  /** Requests that reached it, with the moment in `performance`'s ms. */
  readonly arrivals: { id: string; at: number }[] = [];
  /** When it ended, and under which request; undefined for none. */
  readonly ends: { at: number; id: string | undefined }[] = [];
  #isClosed = false;
  version = 0;
  address = "";
  #options: Options;
  #staged = new Map<number, Buffer>();
  #sequence = 0;
  #beats = 0;
  #server = createServer({ maxHeaderSize: 65_536 }, (request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  constructor(options: Options) {
    this.#options = options;
  }

  /** Each start is a new one, under a name of its own. */
  get instance(): string {
    const { instance } = this.#options;
    return this.crashes === 0 ? instance : `${instance}-${this.crashes}`;
  }

  /** Times that it has ended. */
  get crashes(): number {
    return this.ends.length;
  }

  get #born(): number {
    return FIRST_BORN + this.crashes;
  }

  async listen(host: string): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, host, () => resolve())
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `${host}:${port}`;
  }

  close(): void {
    this.#isClosed = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What it says of itself at a heartbeat. */
  heartbeat(service: string, state: "ready" | "draining") {
    this.#beats += 1;
    return {
      service,
      address: this.address,
      zone: "here",
      version: "v1",
      slots: 4,
      state,
      coldRemainingMs: 0,
      models: this.#models(),
      sequence: this.#beats,
      born: this.#born,
    };
  }

  async #handle(request: IncomingMessage, response: ServerResponse) {
    const body = await readAll(request);
    const url = new URL(request.url ?? "", "http://server");
    const chunk = url.searchParams.get("chunkCount");
    if (url.pathname === "/report") return sendJson(response, this.#report());
    if (url.pathname.startsWith("/stage-put/")) {
      this.#staged.set(Number(chunk), body);
      return sendJson(response, {});
    }
    if (url.pathname.startsWith("/stage-get/")) {
      if (chunk === null) {
        return sendJson(response, { held: [...this.#staged.keys()] });
      }
      const bytes = this.#staged.get(Number(chunk));
      return void response.writeHead(bytes ? 200 : 404).end(bytes);
    }
    if (url.pathname === "/order") return this.#order(body, response);
    return this.#run(request, body, response);
  }

  #order(body: Buffer, response: ServerResponse): void {
    const order = JSON.parse(body.toString());
    const { store } = this.#options;
    const whole = Array.from({ length: store.chunks }, (_, chunk) => chunk)
      .every((chunk) =>
        digestOf(this.#staged.get(chunk)) ===
          store.digest(order.version, chunk)
      );
    if (!whole || order.expected !== this.#sequence) {
      return void response.writeHead(409).end();
    }
    this.#sequence += 1;
    this.version = order.version;
    response.writeHead(202).end();
  }

  async #run(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const { headers } = request;
    const id = String(headers["attempt-id"]);
    if (headers["expected-instance"] !== this.instance) {
      return void response.writeHead(421, {
        "Instance-Id": this.instance,
      }).end();
    }
    this.arrivals.push({ id, at: performance.now() });
    if (this.isFrozen) return;
    this.ran.push(id);
    response.writeHead(200, {
      "Attempt-Id": id,
      "Server-Signature": this.instance,
      "Weight-Versions": String(this.version),
      "Server-Load": "1,0,4",
      ...(this.limitPerSecond !== undefined && {
        "Server-Limit": String(this.limitPerSecond),
      }),
    });
    if (this.crashesOn.includes(body.toString())) {
      response.flushHeaders();
      await pause(CRASH_MILLISECONDS);
      return this.crash(id);
    }
    if (headers["model"] === undefined) {
      const seen = [request.method, request.url, headers["tenant"], body];
      return void response.end(seen.join(" "));
    }
    await this.#stream(response, Number(headers["last-event-id"] ?? 0));
  }

  /** All connections go at once, and nothing listens until it is back. */
  async crash(id?: string): Promise<void> {
    if (this.isDown) return;
    this.ends.push({ at: performance.now(), id });
    const [host, port] = this.address.split(":");
    this.isDown = true;
    this.version = 0;
    this.#sequence = 0;
    this.#beats = 0;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
    await pause(DOWN_MILLISECONDS);
    if (this.#isClosed) return;
    await new Promise<void>((resolve) =>
      this.#server.listen(Number(port), host, () => resolve())
    );
    this.isDown = false;
  }

  async #stream(response: ServerResponse, after: number): Promise<void> {
    const breakAfter = this.breaksAfter.shift() ?? Infinity;
    for (let event = after + 1; event <= EVENTS; event += 1) {
      if (this.isFrozen) return;
      if (event > breakAfter) {
        response.write(`id: ${event}\nda`);
        await pause(EVENT_MILLISECONDS);
        return void response.destroy();
      }
      response.write(`id: ${event}\ndata: t${event}\n\n`);
      await pause(EVENT_MILLISECONDS);
    }
    response.end();
  }

  #report() {
    return {
      phase: "prefill_decode",
      models: this.#models(),
      busy: false,
      sequence: this.#sequence,
      queued: 0,
      active: 0,
      born: this.#born,
    };
  }

  #models() {
    const { model: name } = this.#options;
    return this.version === 0 ? [] : [{ name, version: this.version }];
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function digestOf(bytes: Buffer | undefined): string {
  return bytes === undefined
    ? ""
    : createHash("sha256").update(bytes).digest("hex");
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "Content-Type": "application/json" });
  response.end(JSON.stringify(value));
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
}
