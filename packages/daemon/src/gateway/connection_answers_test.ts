import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const HEAD = "GET /stream/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n";
const REQUEST = `${HEAD}\r\n`;
const HEADER_TIMEOUT_MILLISECONDS = 300;
/** Longer than it takes until a head that stops half-way is refused. */
const ANSWER_MILLISECONDS = 2_000;

/** Answers with two pieces, the second after a while. */
function answerSlowly(milliseconds: number): (socket: Socket) => void {
  return (socket) =>
    socket.on("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      socket.write("3\r\none\r\n");
      setTimeout(() => socket.write("3\r\ntwo\r\n0\r\n\r\n"), milliseconds);
    });
}

async function withGateway(
  milliseconds: number,
  scenario: (gateway: GatewayFixture, client: RawClient) => Promise<void>,
): Promise<void> {
  const gateway = await GatewayFixture.open({
    backend: answerSlowly(milliseconds),
    limits: { headerTimeoutMilliseconds: HEADER_TIMEOUT_MILLISECONDS },
  });
  const client = new RawClient(gateway.port);
  try {
    await scenario(gateway, client);
  } finally {
    client.socket.destroy();
    gateway.close();
  }
}

/** Statuses of all answers on a connection, each of which must be whole. */
function readStatuses(received: string): string[] {
  return received.split(/(?=HTTP\/1\.1 )/).map((answer) => {
    assert.match(answer, /\r\n0\r\n\r\n$|Content-Length: 0\r\n\r\n$/);
    return answer.slice(9, 12);
  });
}

// Guards against a refusal of a client's later bytes that is written into the
// middle of an answer, which it breaks off.
test("bytes that are no request are refused after the answer under way", async () => {
  await withGateway(200, async (_, client) => {
    client.send(REQUEST);
    await client.receive(/one/);
    client.send("nonsense\r\n\r\n");
    client.send("nonsense\r\n\r\n");
    const received = await client.readToEnd();
    assert.match(received, /one.*two/s);
    assert.deepEqual(readStatuses(received), ["200", "400"]);
  });
});

// Guards against an answer that is broken off when the bound for the next
// request's head is reached, or when a configuration lowers that bound.
test("a next head that stops half-way is refused after the answer under way", async () => {
  await withGateway(ANSWER_MILLISECONDS, async (_, client) => {
    client.send(REQUEST);
    await client.receive(/one/);
    client.send("GET /stream/ HT");
    const received = await client.readToEnd();
    assert.deepEqual(readStatuses(received), ["200", "408"]);
  });
});

// Guards against a refusal for lateness of a request that has arrived since.
test("a next head that was late but came during the answer is answered", async () => {
  await withGateway(ANSWER_MILLISECONDS, async (gateway, client) => {
    client.send(REQUEST);
    await client.receive(/one/);
    client.send(HEAD);
    while (gateway.fieldsOf("request-unreadable").length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    client.send("\r\n");
    await client.receive(/two.*two\r\n0\r\n\r\n$/s);
    assert.deepEqual(readStatuses(client.received), ["200", "200"]);
  });
});

// Guards against a request that is refused as unreadable because of the bytes
// behind it.
test("bytes behind a connection's last request leave its answer whole", async () => {
  await withGateway(100, async (_, client) => {
    client.send(`${HEAD}Connection: close\r\n\r\n${REQUEST}`);
    const received = await client.readToEnd();
    assert.deepEqual(readStatuses(received), ["200"]);
  });
});

// Guards against work for a client that has left within its next request.
test("a client that leaves within its next head ends the answer under way", async () => {
  await withGateway(ANSWER_MILLISECONDS, async (gateway, client) => {
    client.send(REQUEST);
    await client.receive(/one/);
    client.send("GET /stream/ HT");
    client.socket.end();
    await client.readToEnd();
    const [ended] = gateway.fieldsOf("request-ended");
    assert.equal(ended?.outcome, "client-left");
    await gateway.waitUntilIdle();
  });
});

// Guards against work for clients that have left, and against planned stops that
// wait for it: only the first of several requests is told of the close.
test("a closed connection ends all requests that arrived on it", async () => {
  await withGateway(ANSWER_MILLISECONDS, async (gateway, client) => {
    client.send(REQUEST + REQUEST + REQUEST);
    await client.receive(/one/);
    while (gateway.backendConnections < 3) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    client.socket.destroy();
    await client.readToEnd();
    await gateway.waitUntilIdle();
    assert.equal(await gateway.countRequests("client-left"), 3);
  });
});

// Guards against requests that are sent on and lose their answer, as the answer
// before them closes the connection at a planned stop.
test("a request behind one that is answered during a stop is answered too", async () => {
  await withGateway(100, async (gateway, client) => {
    gateway.isStopping = true;
    client.send(REQUEST);
    while (gateway.server.inFlight === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    client.send(REQUEST);
    assert.deepEqual(readStatuses(await client.readToEnd()), ["200", "200"]);
  });
});

// Guards against the same where the answer before it is a refusal.
test("a request behind one that is refused during a stop is answered", async () => {
  await withGateway(100, async (gateway, client) => {
    gateway.isStopping = true;
    client.send(`GET /none/ HTTP/1.1\r\nHost: x\r\n\r\n${REQUEST}`);
    const received = await client.readToEnd();
    assert.match(received, /^HTTP\/1\.1 404 .*HTTP\/1\.1 200 .*two/s);
  });
});

// Guards against a request that is sent on though its connection is closing.
test("a request behind the head of a connection's last answer is not sent on", async () => {
  await withGateway(200, async (gateway, client) => {
    gateway.isStopping = true;
    client.send(REQUEST);
    await client.receive(/one/);
    client.send(REQUEST);
    assert.deepEqual(readStatuses(await client.readToEnd()), ["200"]);
    assert.equal(gateway.backendArrivals, 1);
  });
});

// Guards against answers that a planned stop cuts off, as they have been written
// but wait for a slow client or link.
test("a connection is not idle while the end of its answer waits to be sent", async () => {
  const size = 60_000;
  const count = 150;
  const gateway = await GatewayFixture.open({
    backend: (socket) =>
      socket.on("data", () => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${size}\r\n\r\n`);
        socket.write("x".repeat(size));
      }),
  });
  const client = connect(gateway.port, "127.0.0.1");
  let bytes = 0;
  try {
    client.write(
      "GET /safe/ HTTP/1.1\r\nHost: x\r\nId: a\r\n\r\n".repeat(count),
    );
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    assert.ok(gateway.server.inFlight > 0, "nothing waits to be sent");
    gateway.server.closeIdle();
    const closed = once(client, "close");
    client.on("data", (part) => bytes += part.length);
    while (gateway.server.inFlight > 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    gateway.server.closeIdle();
    await closed;
    assert.ok(bytes > size * count, `${bytes} bytes were received`);
  } finally {
    client.destroy();
    gateway.close();
  }
});

// Guards against closing a connection on which a request is arriving.
test("a connection with a half-read request is not idle", async () => {
  await withGateway(0, async (gateway, client) => {
    client.send(REQUEST);
    await client.receive(/\r\n0\r\n\r\n$/);
    client.send(HEAD);
    await new Promise((resolve) => setTimeout(resolve, 50));
    gateway.server.closeIdle();
    client.send("\r\n");
    await client.receive(/two.*two\r\n0\r\n\r\n$/s);
  });
});

// Guards against a request that was read whole and gets a closed connection, and
// against the answer before it that is cut off with it.
test("a request for a tunnel is refused in its turn", async () => {
  await withGateway(100, async (_, client) => {
    client.send(`${REQUEST}CONNECT y:80 HTTP/1.1\r\nHost: y:80\r\n\r\n`);
    const received = await client.readToEnd();
    assert.deepEqual(readStatuses(received), ["200", "400"]);
  });
});
