import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../transport/sleep.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const HEAD = "POST /unsafe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n" +
  "Content-Length: 4\r\n\r\n";
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/** Longer than timers can wait. */
const LONG_MILLISECONDS = 4_294_967_297;
/** Longer than the time between two checks of half-read requests. */
const PAST_CHECK_MILLISECONDS = 700;

/** More requests than the gateway sends to one backend server at a time. */
const CONNECTIONS = 64;
const TIMEOUT_MILLISECONDS = 300;
const LATER_MILLISECONDS = 3_000;

// Guards against bounds of a configuration that mean no bound to an operator, and
// that end every request at once.
test("bounds of more than 24 days don't end requests at once", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) =>
      socket.on("data", () => setTimeout(() => socket.write(ANSWER), 50)),
    limits: {
      headerTimeoutMilliseconds: LONG_MILLISECONDS,
      idleTimeoutMilliseconds: LONG_MILLISECONDS,
    },
    route: { timeoutMilliseconds: LONG_MILLISECONDS },
  });
  try {
    const client = new RawClient(gateway.port, HEAD.slice(0, 20));
    await sleep(PAST_CHECK_MILLISECONDS);
    client.send(`${HEAD.slice(20)}bo`);
    await sleep(50);
    client.send("dy");
    await client.receive(/^HTTP\/1\.1 200 .*ok$/s);
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});

// Guards against a bound of the configuration that ends nothing.
test("a body that stops is refused as not run", async () => {
  const gateway = await GatewayFixture.open({
    limits: { idleTimeoutMilliseconds: TIMEOUT_MILLISECONDS },
  });
  try {
    const client = new RawClient(gateway.port, `${HEAD}bo`);
    await client.receive(/^HTTP\/1\.1 408 /);
    assert.equal(gateway.fieldsOf("request-ended")[0]?.outcome, "not-run");
    assert.equal(gateway.backendArrivals, 0);
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});

// Guards against requests that a change of the configuration ends half-way.
test("new bounds and routes do not end a request that is being read", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) => socket.on("data", () => socket.write(ANSWER)),
  });
  try {
    const client = new RawClient(gateway.port, `${HEAD}bo`);
    while (gateway.server.inFlight === 0) await sleep(10);
    const bounds = {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    };
    gateway.configure(2, bounds, []);
    await sleep(PAST_CHECK_MILLISECONDS);
    client.send("dy");
    await client.receive(/^HTTP\/1\.1 200 .*ok$/s);
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});

// Guards against answers that a change of the configuration ends half-way.
test("new bounds and routes do not end an answer under way", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) =>
      socket.on("data", () => {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\none");
        setTimeout(() => socket.write("two"), 2 * PAST_CHECK_MILLISECONDS);
      }),
  });
  try {
    const head = HEAD.replace("unsafe", "stream");
    const client = new RawClient(gateway.port, `${head}body`);
    await client.receive(/one/);
    const bounds = { headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 };
    gateway.configure(2, bounds, []);
    await client.receive(/onetwo$/);
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});

// Guards against requests that are held for a connection beyond their time, or
// refused as if they had been sent.
test("at its time a request that was sent is unknown, one that waits is not run", async () => {
  const gateway = await GatewayFixture.open();
  const ask = (milliseconds: number) => {
    const deadline = `Id: a1\r\nDeadline: ${milliseconds}\r\n`;
    const text = `${HEAD.replace("Id: a1\r\n", deadline)}body`;
    return new RawClient(gateway.port, text);
  };
  const sent = Array.from(
    { length: CONNECTIONS },
    () => ask(LATER_MILLISECONDS),
  );
  while (gateway.backendArrivals < CONNECTIONS) await sleep(10);
  const waiting = ask(TIMEOUT_MILLISECONDS);
  try {
    await waiting.receive(/^HTTP\/1\.1 503 /);
    for (const client of sent) await client.receive(/^HTTP\/1\.1 504 /);
    assert.equal(await gateway.countRequests("not-run"), 1);
    assert.equal(await gateway.countRequests("unknown"), CONNECTIONS);
    await gateway.waitUntilIdle();
    assert.equal(gateway.backendArrivals, CONNECTIONS);
  } finally {
    for (const { socket } of [waiting, ...sent]) socket.destroy();
    gateway.close();
  }
});
