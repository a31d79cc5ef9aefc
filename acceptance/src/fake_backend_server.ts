import { frameByConnection } from "@teaselrouter/experiments/fakes/frame_by_connection.ts";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import type { ServerEnding } from "./endings/server_ending.ts";
import type { FakeWeightStore } from "./fake_weight_store.ts";

const DEFAULT_STREAM_EVENTS = 8;
const DEFAULT_SLOTS = 4;
const DEFAULT_EVENT_INTERVAL_MILLISECONDS = 10;
/** Time from the start of a response until its request crashes the server. */
const CRASH_DELAY_MILLISECONDS = 20;
const RESTART_MILLISECONDS = 400;
/** Begins a field that never ends. */
const PARTIAL_EVENT = "da";
const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;
const FIRST_START_TIME = 1_000;

/** A request received; `at` is from `performance.now()`, milliseconds. */
type Arrival = { id: string; at: number; instance: string };
/** A request whose head was read, whatever came of it. */
type Receipt = Arrival & {
  /** Time that the request said was left; undefined without a number. */
  deadlineMilliseconds: number | undefined;
};
type Options = {
  instance: string;
  store: FakeWeightStore;
  model: string;
  slots?: number | undefined;
  /** Start time in its heartbeats, Unix milliseconds; an old one by default. */
  bornAt?: number;
};

/**
 * Fake backend server of the platform. Serves plain requests, or as an engine
 * streams, and stages and loads weights.
 */
export class FakeBackendServer {
  /** Ids of the requests that the server ran, in order. */
  readonly ranRequestIds: string[] = [];
  /** Event ids after which the next streams break off; each is used once. */
  breakAfterEvents: number[] = [];
  /** Accepts requests but sends nothing more, like a server on a frozen host. */
  isFrozen = false;
  /**
   * Whether answers have neither a length nor chunks, and end with their
   * connection. Streams that a crash ends then end within an event.
   */
  framesByConnection = false;
  /** How the connections of answers that are broken off end. */
  breakEnd: "close" | "reset" = "close";
  /** Ends the id field of each event; an event ends with an empty line. */
  idLineEnd = "\n";
  /** Bytes of a comment in each event of the streams that begin now. */
  paddingBytes = 0;
  /** Status of the answers to requests to run; undefined for success. */
  failureStatus: number | undefined;
  /** Bytes that follow the plain answers. */
  answerBytes = 0;
  /** Sent as it is instead of each answer; the connection stays open. */
  rawAnswer: string | undefined;
  /** As `failureStatus`, only for requests to resume a stream. */
  resumeFailureStatus: number | undefined;
  /**
   * Events of each stream, unless its request says another number, and the time
   * from one to the next.
   */
  streamEvents = DEFAULT_STREAM_EVENTS;
  eventIntervalMilliseconds = DEFAULT_EVENT_INTERVAL_MILLISECONDS;
  /** Bodies of requests that crash the server. */
  crashingBodies: readonly string[] = [];
  /** Ids of prompt parts that crash the server; a prompt's last part is not. */
  crashingParts: readonly string[] = [];
  /** Whether a restart is announced under the same name, as a new start. */
  keepsName = false;
  /** Called at each end, for how it ends; undefined for the usual way. */
  drawEnding: (() => ServerEnding) | undefined;
  /** Data centre in its heartbeats. */
  zone = "here";
  /** Until when it announces that it is cold, `performance.now()`. */
  coldUntil = -Infinity;
  /** Milliseconds from a request until the first byte of its answer. */
  drawFirstByte = () => 0;
  /** Whether the answer to a request that crashes the server begins before. */
  drawHead = () => true;
  /**
   * Milliseconds from the first byte of an answer, or from when it would have
   * come, until its request crashes the server.
   */
  drawCrashDelay = () => CRASH_DELAY_MILLISECONDS;
  /** Milliseconds that a stream takes; by default as its events take. */
  drawStreamLength: (() => number) | undefined;
  /** Whether the server has crashed and not yet restarted. */
  isDown = false;
  /** Requests per second announced in responses; undefined for no limit. */
  limitPerSecond: number | undefined;
  /**
   * Value of Retry-After with which the server rejects requests; undefined while
   * it accepts them.
   */
  retryAfter: string | undefined;
  /** Rejects requests as not run, without asking for a pause. */
  isFull = false;
  /** Whether responses say that the server is shutting down. */
  isLeaving = false;
  /** Requests rejected with Retry-After; NaN where that is no number. */
  readonly rejections: (Arrival & { seconds: number })[] = [];
  /** Responses that said that the server is shutting down. */
  readonly leavingNotices: Arrival[] = [];
  readonly arrivals: Arrival[] = [];
  readonly receipts: Receipt[] = [];
  readonly runs: Arrival[] = [];
  /** Requests read, also in a silence and if they were ended before its end. */
  readonly receivedRequestIds: string[] = [];
  /** Time and request of each crash; the id is undefined without a request. */
  readonly crashRecords: { at: number; id: string | undefined }[] = [];
  /** Names of the instances that have crashed. */
  readonly endedInstances: string[] = [];
  #openStreams = new Set<ServerResponse>();
  #isClosed = false;
  #name: string;
  /** What the port does while the server is down. */
  #downPort: ServerEnding["port"] = "refuses";
  /** Version of the loaded weights; 0 for none. */
  version = 0;
  address = "";
  #options: Options;
  #staged = new Map<number, Buffer>();
  #acceptedOrders = 0;
  #heartbeats = 0;
  /** Until when the server is silent, `performance.now()` milliseconds. */
  #silentUntil = -Infinity;
  #server = createServer({ maxHeaderSize: 65_536 }, (request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  constructor(options: Options) {
    this.#options = options;
    this.#name = options.instance;
    this.#server.on("connection", (socket) => {
      if (this.isDown && this.#downPort === "closes") socket.destroy();
    });
  }

  /**
   * Name of the instance; a restart is a new instance with a new name, unless
   * it keeps its name.
   */
  get instance(): string {
    return this.#name;
  }

  /** Number of crashes so far. */
  get crashCount(): number {
    return this.crashRecords.length;
  }

  get #slots(): number {
    return this.#options.slots ?? DEFAULT_SLOTS;
  }

  get #startTime(): number {
    return (this.#options.bornAt ?? FIRST_START_TIME) + this.crashCount;
  }

  async listen(host: string): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, host, () => resolve())
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `${host}:${port}`;
  }

  /**
   * Sends nothing for a while, then goes on where it was. Connections stay open
   * and what arrives meanwhile is read afterwards, like a process that stands
   * still. A silence in progress is only ever made longer.
   */
  fallSilent(milliseconds: number): void {
    const until = performance.now() + milliseconds;
    this.#silentUntil = Math.max(this.#silentUntil, until);
  }

  get isSilent(): boolean {
    return performance.now() < this.#silentUntil;
  }

  async #waitUntilSilenceEnds(): Promise<void> {
    while (this.isSilent) await sleep(this.#silentUntil - performance.now());
  }

  /** Breaks all connections, and goes on. */
  resetConnections(): void {
    for (const stream of this.#openStreams) stream.socket?.resetAndDestroy();
    this.#openStreams.clear();
    this.#server.closeAllConnections();
  }

  close(): void {
    this.#isClosed = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Builds the next heartbeat document. */
  heartbeat(service: string, state: "ready" | "draining") {
    this.#heartbeats += 1;
    return {
      service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.#slots,
      state,
      coldRemainingMs: Math.max(0, this.coldUntil - performance.now()),
      models: this.#models(),
      sequence: this.#heartbeats,
      born: this.#startTime,
    };
  }

  async #handle(request: IncomingMessage, response: ServerResponse) {
    const attemptId = request.headers["attempt-id"];
    if (this.isDown) return this.#refuse(String(attemptId), response);
    if (attemptId !== undefined) this.#recordReceipt(request);
    const body = await readAll(request);
    if (attemptId !== undefined) this.receivedRequestIds.push(`${attemptId}`);
    await this.#waitUntilSilenceEnds();
    if (response.destroyed) return;
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
    if (url.pathname === "/order") return this.#loadWeights(body, response);
    return this.#runRequest(request, body, response);
  }

  #recordReceipt({ headers }: IncomingMessage): void {
    const deadline = Number(headers["deadline-ms"] ?? NaN);
    this.receipts.push({
      id: String(headers["attempt-id"]),
      at: performance.now(),
      instance: this.instance,
      deadlineMilliseconds: Number.isFinite(deadline) ? deadline : undefined,
    });
  }

  #loadWeights(body: Buffer, response: ServerResponse): void {
    const order = JSON.parse(body.toString());
    const { store } = this.#options;
    const isComplete = Array.from({ length: store.chunks }, (_, chunk) => chunk)
      .every((chunk) =>
        digestOf(this.#staged.get(chunk)) ===
          store.digest(order.version, chunk)
      );
    if (!isComplete || order.expected !== this.#acceptedOrders) {
      return void response.writeHead(409).end();
    }
    this.#acceptedOrders += 1;
    this.version = order.version;
    response.writeHead(202).end();
  }

  async #runRequest(
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
    const { instance } = this;
    this.arrivals.push({ id, at: performance.now(), instance });
    if (this.isFrozen) return;
    if (this.isLeaving) {
      response.setHeader("Server-Leaving", "1");
      this.leavingNotices.push({ id, at: performance.now(), instance });
    }
    if (this.retryAfter !== undefined) return this.#reject(id, response);
    if (this.isFull) return this.#refuse(id, response);
    this.ranRequestIds.push(id);
    this.runs.push({ id, at: performance.now(), instance });
    if (this.rawAnswer !== undefined) {
      return void response.socket!.write(this.rawAnswer);
    }
    const failureStatus = headers["last-event-id"] === undefined
      ? this.failureStatus
      : this.resumeFailureStatus ?? this.failureStatus;
    if (failureStatus !== undefined) {
      return this.#fail(failureStatus, id, response);
    }
    const isCrashing = this.#isCrashing(headers["prefix-hash"], body);
    const hasHead = !isCrashing || this.drawHead();
    const { crashCount } = this;
    const hasEnded = () => this.crashCount !== crashCount;
    if (isCrashing || headers["model"] !== undefined) {
      this.#openStreams.add(response);
      response.once("close", () => this.#openStreams.delete(response));
    }
    const firstByte = this.drawFirstByte();
    if (firstByte > 0) {
      await sleep(firstByte);
      await this.#waitUntilSilenceEnds();
    }
    if (hasEnded() || (response.destroyed && !isCrashing)) return;
    if (hasHead) this.#writeHead(request, response);
    if (isCrashing) {
      if (hasHead) response.flushHeaders();
      await sleep(this.drawCrashDelay());
      return hasEnded() ? undefined : this.crash(id);
    }
    if (headers["model"] === undefined) {
      const echo = [request.method, request.url, headers["tenant"], body];
      return void response.end(echo.join(" ") + "x".repeat(this.answerBytes));
    }
    await this.#streamEvents(response, {
      after: Number(headers["last-event-id"] ?? 0),
      events: Number(headers["stream-events"] ?? this.streamEvents),
    });
  }

  #writeHead({ headers }: IncomingMessage, response: ServerResponse): void {
    if (this.framesByConnection) frameByConnection(response);
    response.writeHead(200, {
      "Attempt-Id": String(headers["attempt-id"]),
      "Server-Signature": this.instance,
      ...(headers["model"] !== undefined && {
        "Content-Type": "text/event-stream",
      }),
      "Weight-Versions": String(this.version),
      "Server-Load": `1,0,${this.#slots}`,
      ...(this.limitPerSecond !== undefined && {
        "Server-Limit": String(this.limitPerSecond),
      }),
    });
  }

  #isCrashing(prefix: string | string[] | undefined, body: Buffer): boolean {
    if (this.crashingBodies.includes(body.toString())) return true;
    if (this.crashingParts.length === 0) return false;
    const shared = String(prefix ?? "").split(",").slice(0, -1);
    return shared.some((entry) =>
      this.crashingParts.includes(entry.split(":")[0]!)
    );
  }

  #fail(status: number, id: string, response: ServerResponse): void {
    response.writeHead(status, {
      "Attempt-Id": id,
      "Server-Signature": this.instance,
    }).end(`failed with ${status}\n`);
  }

  #refuse(id: string, response: ServerResponse): void {
    response.writeHead(503, { "Attempt-Id": id, "Not-Executed": "1" }).end();
  }

  #reject(id: string, response: ServerResponse): void {
    const retryAfter = this.retryAfter!;
    const seconds = DECIMAL_NUMBER.test(retryAfter) ? Number(retryAfter) : NaN;
    const { instance } = this;
    this.rejections.push({ id, at: performance.now(), instance, seconds });
    response.writeHead(503, {
      "Attempt-Id": id,
      "Not-Executed": "1",
      "Retry-After": retryAfter,
    }).end();
  }

  /**
   * Closes all connections at once and forgets the loaded weights. Nothing
   * listens until the server has restarted.
   */
  async crash(id?: string): Promise<void> {
    if (this.isDown) return;
    const ending = this.#beginEnding();
    this.endedInstances.push(this.instance);
    this.crashRecords.push({ at: performance.now(), id });
    if (!this.keepsName) {
      this.#name = `${this.#options.instance}-${this.crashCount}`;
    }
    this.isDown = true;
    this.version = 0;
    this.#acceptedOrders = 0;
    this.#heartbeats = 0;
    const brokenStreams = [...this.#openStreams];
    this.#openStreams.clear();
    await Promise.all(brokenStreams.map((stream) => this.#breakOff(stream)));
    if (ending.port === "refuses") await this.#closePort();
    else this.#server.closeAllConnections();
    await sleep(ending.restartMilliseconds);
    if (this.#isClosed) return;
    if (ending.port === "refuses") await this.#openPort();
    // Whoever was answered meanwhile has no connection to the next start.
    else this.#server.closeAllConnections();
    this.isDown = false;
  }

  /** How the server ends now. */
  #beginEnding(): Pick<ServerEnding, "port" | "restartMilliseconds"> {
    const ending = this.drawEnding?.();
    this.#downPort = ending?.port ?? "refuses";
    if (ending === undefined) {
      return { port: "refuses", restartMilliseconds: RESTART_MILLISECONDS };
    }
    this.breakEnd = ending.breakEnd;
    this.keepsName = ending.keepsName;
    return ending;
  }

  async #closePort(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  async #openPort(): Promise<void> {
    const [host, port] = this.address.split(":");
    await new Promise<void>((resolve) =>
      this.#server.listen(Number(port), host, () => resolve())
    );
  }

  async #streamEvents(
    response: ServerResponse,
    { after, events }: { after: number; events: number },
  ): Promise<void> {
    if (response.destroyed) return;
    const eventMilliseconds = this.drawStreamLength === undefined
      ? this.eventIntervalMilliseconds
      : this.drawStreamLength() / events;
    const breakAfter = this.breakAfterEvents.shift() ?? Infinity;
    const { paddingBytes } = this;
    for (let event = after + 1; event <= events; event += 1) {
      await this.#waitUntilSilenceEnds();
      if (this.isFrozen || !this.#openStreams.has(response)) return;
      if (event > breakAfter) {
        response.write(`id: ${event}\nda`);
        await sleep(eventMilliseconds);
        return this.#breakOff(response);
      }
      const padding = paddingBytes === 0
        ? ""
        : `:${" ".repeat(paddingBytes)}\n`;
      response.write(
        `${padding}id: ${event}${this.idLineEnd}data: t${event}\n\n`,
      );
      await sleep(eventMilliseconds);
    }
    await this.#waitUntilSilenceEnds();
    if (this.#openStreams.has(response)) response.end();
  }

  async #breakOff(response: ServerResponse): Promise<void> {
    // Bytes that are still in the process are lost with the connection.
    if (this.framesByConnection && response.headersSent) {
      await writeOut(response, PARTIAL_EVENT);
    }
    if (this.breakEnd === "reset") response.socket?.resetAndDestroy();
    else response.destroy();
  }

  #report() {
    return {
      phase: "prefill_decode",
      models: this.#models(),
      busy: false,
      sequence: this.#acceptedOrders,
      queued: 0,
      active: 0,
      born: this.#startTime,
    };
  }

  #models() {
    const { model: name } = this.#options;
    return this.version === 0 ? [] : [{ name, version: this.version }];
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Resolves once the bytes have left the process, or never will. */
function writeOut(response: ServerResponse, bytes: string): Promise<void> {
  return new Promise((resolve) => {
    if (response.destroyed) return resolve();
    response.once("close", resolve);
    response.write(bytes, () => resolve());
  });
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
