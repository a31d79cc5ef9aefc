import assert from "node:assert/strict";
import { ServerResponse } from "node:http";
import { test } from "node:test";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const REQUEST = "POST /unsafe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n" +
  "Content-Length: 2\r\n\r\nhi";
const STREAM_REQUEST = REQUEST.replace("/unsafe/", "/stream/");
/** A stream that has just begun. */
const STREAM_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
  "3\r\none\r\n";
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

function failHere(): never {
  throw new Error("a fault of our own");
}

// Guards against requests whose connection is closed without an answer, though
// their backend server goes on working, when handling them throws.
test("a fault while an answer is handled is refused as unknown and ends the attempt", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) => socket.on("data", () => socket.write(STREAM_HEAD)),
    format: { filterAnswerHeaders: failHere },
  });
  try {
    const client = new RawClient(gateway.port, STREAM_REQUEST);
    await client.receive(/^HTTP\/1\.1 502 .*\r\n\r\n.+/s);
    const [ended, ...others] = gateway.fieldsOf("request-ended");
    assert.equal(ended?.outcome, "unknown");
    assert.equal(others.length, 0, "it is logged once");
    assert.equal(await gateway.countRequests("unknown"), 1);
    const [fault] = gateway.fieldsOf("request-failed");
    assert.equal(fault?.id, "a1");
    await gateway.waitUntilIdle();
    assert.equal(gateway.context.pool.recordOf("one").inFlight, 0);
  } finally {
    gateway.close();
  }
});

// Guards against clients that are not told that their request hasn't run.
test("a fault before a request is sent is refused as not run", async () => {
  let arrived = 0;
  const gateway = await GatewayFixture.open({
    backend: () => arrived += 1,
    format: { buildForwardHeaders: failHere },
  });
  try {
    const client = new RawClient(gateway.port, REQUEST);
    await client.receive(/^HTTP\/1\.1 503 .*Retry-After: .*\r\n\r\n.+/s);
    assert.equal(gateway.fieldsOf("request-ended")[0]?.outcome, "not-run");
    assert.equal(arrived, 0);
  } finally {
    gateway.close();
  }
});

// Guards against a fault that also breaks the log line about the request's end,
// so that the refusal is lost.
test("a fault before a request is admitted is refused as not run", async () => {
  const gateway = await GatewayFixture.open({
    format: { readRequest: failHere },
  });
  try {
    const client = new RawClient(gateway.port, REQUEST);
    await client.receive(/^HTTP\/1\.1 503 .*Retry-After: .*\r\n\r\n.+/s);
    assert.equal(await gateway.countRequests("not-run"), 1);
  } finally {
    gateway.close();
  }
});

// Guards against an answer that a fault breaks off and that looks complete.
test("a fault behind the head of an answer cuts the answer off", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) => socket.on("data", () => socket.write(ANSWER)),
  });
  gateway.metrics.answerHeadMilliseconds.observe = failHere;
  try {
    const client = new RawClient(gateway.port, REQUEST);
    assert.doesNotMatch(await client.readToEnd(), /ok$/);
    assert.equal(gateway.fieldsOf("request-ended")[0]?.outcome, "unknown");
    await gateway.waitUntilIdle();
  } finally {
    gateway.close();
  }
});

// Guards against requests whose connection is closed without an answer at the
// end of a planned stop's grace time, and which the log lays to their clients.
test("what is left at the end of a stop is refused as far as is known", async () => {
  const gateway = await GatewayFixture.open({
    limits: { idleTimeoutMilliseconds: 500 },
  });
  try {
    const sent = new RawClient(gateway.port, REQUEST);
    const halfRead = new RawClient(gateway.port, REQUEST.slice(0, -1));
    while (gateway.server.inFlight < 2 || gateway.backendArrivals < 1) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    gateway.isStopping = true;
    gateway.server.endAll();
    await sent.receive(/^HTTP\/1\.1 502 .*\r\n\r\n.+/s);
    await halfRead.receive(/^HTTP\/1\.1 503 .*Retry-After: .*\r\n\r\n.+/s);
    const outcomes = gateway.fieldsOf("request-ended").map((ended) =>
      ended.outcome
    );
    assert.deepEqual(outcomes, ["unknown", "not-run"]);
    halfRead.send(REQUEST.slice(-1));
    await gateway.waitUntilIdle();
  } finally {
    gateway.close();
  }
});

// Guards against a cut stream that looks complete or is laid to its client.
test("a stream under way at the end of a stop is cut", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) => socket.on("data", () => socket.write(STREAM_HEAD)),
  });
  try {
    const client = new RawClient(gateway.port, STREAM_REQUEST);
    await client.receive(/one/);
    gateway.server.endAll();
    assert.doesNotMatch(await client.readToEnd(), /\r\n0\r\n\r\n$/);
    assert.equal(gateway.fieldsOf("request-ended")[0]?.outcome, "unknown");
  } finally {
    gateway.close();
  }
});

// Guards against faults outside of the request's own flow: thrown from there, they
// end the process and all requests with it.
test("a fault in the handler of an event ends its request only", async () => {
  const gateway = await GatewayFixture.open({
    route: { timeoutMilliseconds: 200 },
  });
  gateway.metrics.requestMilliseconds.observe = failHere;
  try {
    const client = new RawClient(gateway.port, REQUEST);
    await client.receive(/^HTTP\/1\.1 504 .*\r\n\r\n.+/s);
    assert.equal(gateway.fieldsOf("request-failed").length, 1);
    await gateway.waitUntilIdle();
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});

// Guards against the same while the head of an answer is read.
test("a fault while an answer's head is read leaves the outcome unknown", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) => socket.on("data", () => socket.write(ANSWER)),
    format: { readAnswer: failHere },
  });
  try {
    const client = new RawClient(gateway.port, REQUEST);
    await client.receive(/^HTTP\/1\.1 502 .*\r\n\r\n.+/s);
    assert.equal(gateway.fieldsOf("request-ended")[0]?.outcome, "unknown");
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});

// Guards against the same while an answer is passed on.
test("a fault while an answer is passed on cuts it off", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) => socket.on("data", () => socket.write(STREAM_HEAD)),
  });
  const { write } = ServerResponse.prototype;
  ServerResponse.prototype.write = failHere;
  try {
    const client = new RawClient(gateway.port, STREAM_REQUEST);
    await client.readToEnd();
    assert.equal(gateway.fieldsOf("request-ended")[0]?.outcome, "unknown");
    await gateway.waitUntilIdle();
  } finally {
    ServerResponse.prototype.write = write;
    gateway.close();
  }
});

// Guards against a cut answer that a client takes for complete, as the end of its
// connection is its only end.
test("a cut answer to an HTTP/1.0 client ends in a reset", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) => socket.on("data", () => socket.write(STREAM_HEAD)),
  });
  try {
    const request = STREAM_REQUEST.replace("HTTP/1.1", "HTTP/1.0");
    const client = new RawClient(gateway.port, request);
    await client.receive(/\r\n\r\none$/);
    gateway.server.endAll();
    await client.readToEnd();
    assert.equal(client.errorCode, "ECONNRESET");
    await gateway.waitUntilIdle();
  } finally {
    gateway.close();
  }
});
