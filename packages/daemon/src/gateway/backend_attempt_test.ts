import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import type { RequestFormat } from "../platform/request_format.ts";
import { BackendAgent } from "./backend_agent.ts";
import { BackendAttempt } from "./backend_attempt.ts";
import { collectAnswer } from "./collect_answer.ts";

const ADDRESS = "127.0.0.1";
const HEAD = "HTTP/1.1 200 OK\r\nId: a1\r\n";

const format: RequestFormat = {
  readRequest: () => {
    throw new Error("not used");
  },
  buildForwardHeaders: (raw) => raw,
  readAnswer: (headers) => ({
    id: headers["id"] as string | undefined,
    instance: undefined,
    isNotRun: headers["not-run"] !== undefined,
    isSigned: true,
    weightsVersion: undefined,
    limitPerSecond: undefined,
    requestedPause: undefined,
    isShuttingDown: false,
    unreadableFields: [],
    load: undefined,
  }),
  filterAnswerHeaders: (raw) => raw,
  guaranteesNotRun: (status) => status === 503,
};

/** Options of a request whose body and metadata don't matter. */
const REQUEST = {
  method: "GET",
  path: "/",
  body: undefined,
  id: "a1",
  format,
  onMetadata: () => undefined,
  onMisdirected: () => undefined,
};

/** Sends one request to a backend server that handles it with `answer`. */
async function attempt(answer: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new BackendAgent(4);
  const sent = new BackendAttempt({
    address: `${ADDRESS}:${port}`,
    agent,
    method: "GET",
    path: "/",
    buildHead: () => ({ headers: ["Host", "a"], deadlineMilliseconds: 1_000 }),
    body: undefined,
    id: "a1",
    format,
    onMetadata: () => undefined,
    onMisdirected: () => undefined,
  });
  const outcome = await sent.outcome;
  const body = outcome.kind === "answer"
    ? await collectAnswer(outcome.message, sent.answer, 1_000)
    : undefined;
  agent.destroy();
  server.close();
  return { sent, outcome, body };
}

test("an answer without a length is whole only if its connection ends regularly", async () => {
  // A backend server that sends no length crashes in the middle of its body.
  // The reset must not be taken for the end of the answer.
  const whole = await attempt((socket) => {
    socket.end(`${HEAD}\r\nall of it`);
  });
  assert.equal(whole.body?.kind, "whole");
  assert.equal(whole.sent.answer.end, "whole");
  const atOnce = await attempt((socket) => {
    socket.write(`${HEAD}\r\nall`, () => socket.resetAndDestroy());
  });
  assert.equal(atOnce.sent.answer.end, "reset");
  assert.equal(atOnce.body?.kind, "broken");
  const later = await attempt((socket) => {
    socket.write(`${HEAD}\r\nall`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  assert.equal(later.sent.answer.end, "reset");
  assert.equal(later.body?.kind, "broken");
});

test("a body shorter than its length is broken", async () => {
  const { body } = await attempt((socket) => {
    socket.end(`${HEAD}Content-Length: 20\r\n\r\nall`);
  });
  assert.equal(body?.kind, "broken");
});

// Guards against a stream that ends as whole, as all of it was received, though
// the attempt was given up before its rest was read.
test("an answer whose rest was not read is not whole", async () => {
  const server = createHttpServer((_, response) => response.end("all of it"));
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new BackendAgent(1);
  for (const isRead of [true, false]) {
    const sent = new BackendAttempt({
      ...REQUEST,
      address: `${ADDRESS}:${port}`,
      agent,
      buildHead: () => ({
        headers: ["Host", "a"],
        deadlineMilliseconds: 1_000,
      }),
    });
    const outcome = await sent.outcome;
    assert.ok(outcome.kind === "answer");
    const { message } = outcome;
    const closed = new Promise((resolve) => message.once("close", resolve));
    while (!message.complete) await new Promise((done) => setTimeout(done, 5));
    if (isRead) message.resume();
    else sent.abort("given up");
    await closed;
    assert.equal(sent.answer.end, isRead ? "whole" : "cut-short");
  }
  agent.destroy();
  server.close();
});

test("no answer, an invalid one and another request's leave the outcome unknown", async () => {
  const outcomes = [
    await attempt((socket) => socket.destroy()),
    await attempt((socket) => socket.end("nonsense\r\n\r\n")),
    await attempt((socket) =>
      socket.end("HTTP/1.1 200 OK\r\nId: a2\r\nContent-Length: 0\r\n\r\n")
    ),
  ];
  for (const { outcome } of outcomes) assert.equal(outcome.kind, "broken");
});

test("only a refused connection or the backend server's statement means not run", async () => {
  const said = await attempt((socket) =>
    socket.end(
      "HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: a1\r\nContent-Length: 0\r\n\r\n",
    )
  );
  assert.equal(said.outcome.kind, "not-run");
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  const agent = new BackendAgent(4);
  const refused = new BackendAttempt({
    address: `${ADDRESS}:${port}`,
    agent,
    method: "GET",
    path: "/",
    buildHead: () => ({ headers: [], deadlineMilliseconds: 1_000 }),
    body: undefined,
    id: "a1",
    format,
    onMetadata: () => undefined,
    onMisdirected: () => undefined,
  });
  const outcome = await refused.outcome;
  assert.ok(outcome.kind === "not-run" && outcome.isUnreachable);
  agent.destroy();
});

// Guards against a request that waits for a connection and reaches a backend
// server seconds after that server has asked for a pause.
test("only an attempt of which nothing was sent can be withdrawn", async () => {
  let arrived = 0;
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => arrived += 1);
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new BackendAgent(1);
  const open = () =>
    new BackendAttempt({
      ...REQUEST,
      address: `${ADDRESS}:${port}`,
      agent,
      buildHead: () => ({
        headers: ["Host", "a"],
        deadlineMilliseconds: 1_000,
      }),
    });
  const running = open();
  const waiting = open();
  await new Promise((resolve) => setTimeout(resolve, 50));
  running.withdraw("paused");
  waiting.withdraw("paused");
  const outcome = await waiting.outcome;
  assert.deepEqual(outcome, {
    kind: "not-run",
    reason: "paused",
    isUnreachable: false,
  });
  assert.equal(running.isAborted, false, "it was sent");
  running.abort("over");
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(arrived, 1);
  agent.destroy();
  server.close();
});

// Guards against a request's body that its backend server reads as another
// request, which no client's key was checked for.
test("a body belongs to its request, whatever the method", async () => {
  const smuggled = "GET /other HTTP/1.1\r\nHost: a\r\n\r\n";
  const arrived: string[] = [];
  const server = createHttpServer(async (request, response) => {
    let body = "";
    for await (const part of request) body += part;
    arrived.push(`${request.method} ${request.url} ${body}`);
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new BackendAgent(4);
  const methods = ["GET", "DELETE", "POST"];
  for (const method of methods) {
    const sent = new BackendAttempt({
      ...REQUEST,
      address: `${ADDRESS}:${port}`,
      agent,
      method,
      buildHead: () => ({
        headers: ["Host", "a"],
        deadlineMilliseconds: 1_000,
      }),
      body: Buffer.from(smuggled),
    });
    assert.equal((await sent.outcome).kind, "answer");
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  agent.destroy();
  server.close();
  assert.deepEqual(arrived, methods.map((method) => `${method} / ${smuggled}`));
});

// Guards against an answer that can't be passed on, so that handling it throws.
test("bytes that are an answer but for their status leave the outcome unknown", async () => {
  const { outcome } = await attempt((socket) =>
    socket.end("HTTP/1.1 099 No\r\nId: a1\r\nContent-Length: 0\r\n\r\n")
  );
  assert.equal(outcome.kind, "broken");
});
