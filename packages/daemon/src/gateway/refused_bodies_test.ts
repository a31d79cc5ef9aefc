import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const MAX_BODY_BYTES = 1_000;
const HEAD = "POST /unsafe/a HTTP/1.1\r\nHost: x\r\nId: u1\r\n";
const OTHER = "GET /nowhere HTTP/1.1\r\nHost: x\r\nId: u2\r\n\r\n";
const ANNOUNCED_BYTES = 1_000_000_000;
/** What is read behind a refusal, and what two ends of a connection buffer. */
const MAX_SENT_BYTES = 16_777_216;
const PACKET = "x".repeat(65_536);

async function withGateway(
  play: (gateway: GatewayFixture) => Promise<void>,
): Promise<void> {
  const gateway = await GatewayFixture.open({
    limits: { maxBodyBytes: MAX_BODY_BYTES },
  });
  try {
    await play(gateway);
  } finally {
    gateway.close();
  }
}

function sendWithoutEnd({ socket }: RawClient): void {
  const send = () => {
    while (!socket.destroyed) {
      if (!socket.write(PACKET)) return void socket.once("drain", send);
    }
  };
  send();
}

// Guards against a host that serves who was refused by reading on, and against a
// refusal that is lost because its connection is closed too soon.
test("a client that sends on behind its refusal reads it and is cut off", () =>
  withGateway(async (gateway) => {
    const client = new RawClient(
      gateway.port,
      `${HEAD}Content-Length: ${ANNOUNCED_BYTES}\r\n\r\n`,
    );
    const closed = new Promise((resolve) =>
      client.socket.once("close", resolve)
    );
    sendWithoutEnd(client);
    await client.receive(/^HTTP\/1\.1 413 /);
    await closed;
    const { bytesWritten } = client.socket;
    assert.ok(
      bytesWritten <= MAX_SENT_BYTES,
      `${bytesWritten} bytes were sent`,
    );
  }));

// Guards against a client that has to connect anew for a small mistake.
test("a connection goes on behind a refused body that comes to its end", () =>
  withGateway(async (gateway) => {
    const client = new RawClient(
      gateway.port,
      `${HEAD}Content-Length: 200000\r\n\r\n`,
    );
    await client.receive(/^HTTP\/1\.1 413 /);
    client.send("x".repeat(200_000) + OTHER);
    await client.receive(/HTTP\/1\.1 404 /);
    client.socket.destroy();
  }));
