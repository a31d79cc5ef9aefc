import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const HEAD = "GET /safe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n\r\n";
const REFUSAL = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against repeats, and refusals to repeat, that no operator can explain.
test("the log says which sends were retries, and why there was no further one", async () => {
  const gateway = await GatewayFixture.open({
    backends: 3,
    backend: (socket) => socket.on("data", () => socket.write(REFUSAL)),
  });
  try {
    const client = new RawClient(gateway.port, HEAD);
    await client.receive(/^HTTP\/1\.1 503 /);
    const [first, second] = String(
      gateway.fieldsOf("request-ended")[0]!.sends,
    ).split(",");
    assert.match(first!, /^[\w-]+@\d+\/(39\d\d|4000)$/);
    assert.match(second!, /^[\w-]+@\d+\/(39\d\d|4000)\/retry$/);
    const refused = gateway.fieldsOf("retry-refused");
    assert.equal(refused.length, 1);
    assert.equal(refused[0]!.reason, "no-attempt-left");
    assert.equal(refused[0]!.service, "service");
    assert.equal(refused[0]!.sends, 2);
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});
