import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

/** Of a request that no route matches; half of its body. */
const HALF_REQUEST = "POST /none/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n" +
  "Content-Length: 10\r\n\r\nfirst";
const REFUSAL =
  /^HTTP\/1\.1 404 .*Connection: close.*\r\n\r\nno route matches\n$/s;

async function withStoppingGateway(
  scenario: (gateway: GatewayFixture, client: RawClient) => Promise<void>,
): Promise<void> {
  const gateway = await GatewayFixture.open();
  gateway.isStopping = true;
  const client = new RawClient(gateway.port, HALF_REQUEST);
  try {
    await scenario(gateway, client);
  } finally {
    client.socket.destroy();
    gateway.close();
  }
}

// Guards against refusals at a planned stop that are lost, as the connection is
// reset while the client still sends the body.
test("a refusal that closes the connection waits for the end of the body", async () => {
  await withStoppingGateway(async (gateway, client) => {
    await client.receive(REFUSAL);
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.equal(client.isClosed, false);
    client.send("other");
    await client.readToEnd();
    assert.equal(client.errorCode, undefined);
    await gateway.waitUntilIdle();
  });
});

// Guards against clients that hold up a planned stop by not ending their body.
test("a refusal that closes the connection does not wait long", async () => {
  await withStoppingGateway(async (gateway, client) => {
    await client.receive(REFUSAL);
    await client.readToEnd();
    await gateway.waitUntilIdle();
  });
});
