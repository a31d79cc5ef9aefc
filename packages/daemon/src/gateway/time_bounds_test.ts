import { test } from "node:test";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const HEAD = "POST /unsafe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n" +
  "Content-Length: 4\r\n\r\n";
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/** Longer than timers can wait. */
const LONG_MILLISECONDS = 4_294_967_297;
/** Longer than the time between two checks of half-read requests. */
const PAST_CHECK_MILLISECONDS = 700;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

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
