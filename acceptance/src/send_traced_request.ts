import {
  type Agent,
  type ClientRequestArgs,
  request as openRequest,
} from "node:http";
import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { RequestKind, TracedRequest } from "./traced_request.ts";

/** Clients abandon a stream after a gap of this length. */
export const CLIENT_PATIENCE_MILLISECONDS = 2_400;
const PATHS = { stream: "/write/x", safe: "/look/x", unsafe: "/pay/x" };

type Options = {
  id: string;
  kind: RequestKind;
  gateway: string;
  /** Base URL of the gateway. */
  url: string;
  deadlineMilliseconds: number;
  events: number;
  /** Defaults to the one path of all requests of this kind. */
  path?: string | undefined;
  /** Pause before the last half of the body is sent. */
  bodyPauseMilliseconds?: number;
  /** Pause before the last half of the head is sent; only without a body. */
  headPauseMilliseconds?: number;
  /** Keeps the connection open; a new one is opened by default. */
  agent?: Agent | undefined;
};

/** Sends a request as a client does. Never rejects. */
export async function sendTracedRequest(
  options: Options,
): Promise<TracedRequest> {
  const { id, kind, gateway, events, bodyPauseMilliseconds = 0 } = options;
  const { headPauseMilliseconds } = options;
  const sentAt = performance.now();
  const traced: TracedRequest = {
    id,
    kind,
    gateway,
    sentAt,
    lastByteAt: undefined,
    lastDataAt: sentAt,
    endedAt: Infinity,
    status: 0,
    isWhole: false,
    isAbandoned: false,
    text: "",
    events,
    isReused: false,
    error: "",
  };
  const outgoing = openRequest(options.url + (options.path ?? PATHS[kind]), {
    method: kind === "safe" ? "GET" : "POST",
    ...(headPauseMilliseconds === undefined
      ? { agent: options.agent ?? false }
      : { createConnection: connectSlowly(headPauseMilliseconds) }),
    headers: buildHeaders(options),
  });
  const answered = followAnswer(outgoing, traced);
  outgoing.on("finish", () => {
    traced.lastByteAt = performance.now();
    // The client's own pause is no gap.
    traced.lastDataAt = traced.lastByteAt;
    traced.isReused = outgoing.reusedSocket;
  });
  const stopWatching = kind === "stream"
    ? abandonAfterGap(traced, () => outgoing.destroy())
    : () => {};
  await sendBody(outgoing, traced, bodyPauseMilliseconds);
  await answered;
  stopWatching();
  traced.endedAt = performance.now();
  return traced;
}

/** Opens connections that hold back the last half of what is first written. */
function connectSlowly(pauseMilliseconds: number) {
  return ({ port, host }: ClientRequestArgs): Socket => {
    const socket = connect({ port: Number(port), host: host! });
    const write = socket.write.bind(socket);
    socket.write = ((bytes: string, encoding: "latin1", done: () => void) => {
      const half = Math.floor(bytes.length / 2);
      write(bytes.slice(0, half), encoding);
      setTimeout(
        () => write(bytes.slice(half), encoding, done),
        pauseMilliseconds,
      );
      return true;
    }) as typeof socket.write;
    return socket;
  };
}

function buildHeaders({ id, kind, events, deadlineMilliseconds }: Options) {
  return {
    Host: "desk.example",
    "Attempt-Id": id,
    "Deadline-Ms": String(deadlineMilliseconds),
    Authorization: "Bearer key-1",
    ...(kind !== "safe" && { "Content-Length": String(id.length) }),
    ...(kind === "stream" && {
      Model: "model-1",
      "Token-Usage": `100,${events}`,
      "Stream-Events": String(events),
    }),
  };
}

/** Resolves when the answer has ended, whole or not. */
function followAnswer(
  outgoing: ReturnType<typeof openRequest>,
  traced: TracedRequest,
): Promise<void> {
  return new Promise((resolve) => {
    const fail = (error: Error) => {
      traced.error ||= error.message;
      resolve();
    };
    outgoing.on("error", fail);
    outgoing.on("close", resolve);
    outgoing.on("response", (response) => {
      traced.status = response.statusCode ?? 0;
      response.on("data", (bytes) => {
        traced.lastDataAt = performance.now();
        traced.text += bytes;
      });
      response.on("error", fail);
      response.on("end", () => {
        traced.isWhole = response.complete;
        resolve();
      });
    });
  });
}

async function sendBody(
  outgoing: ReturnType<typeof openRequest>,
  { id, kind }: TracedRequest,
  pauseMilliseconds: number,
): Promise<void> {
  if (kind === "safe") return void outgoing.end();
  if (pauseMilliseconds === 0) return void outgoing.end(id);
  const half = Math.floor(id.length / 2);
  outgoing.write(id.slice(0, half));
  await sleep(pauseMilliseconds);
  outgoing.end(id.slice(half));
}

/** Returns a function that ends the watch. */
function abandonAfterGap(
  traced: TracedRequest,
  abandon: () => void,
): () => void {
  const isTooLong = () =>
    traced.lastByteAt !== undefined &&
    performance.now() - traced.lastDataAt > CLIENT_PATIENCE_MILLISECONDS;
  const timer = setInterval(() => {
    if (!isTooLong()) return;
    // This process may have stood still: what has arrived is read first.
    setImmediate(() => {
      if (!isTooLong()) return;
      traced.isAbandoned = true;
      abandon();
    });
  }, 50);
  return () => clearInterval(timer);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
