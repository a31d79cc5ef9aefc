import assert from "node:assert/strict";
import { type IncomingMessage, request } from "node:http";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "./end_to_end_system.ts";

/** More than the buffers of all connections on the way. */
const PADDING_BYTES = 2_000_000;
const STREAMS = 6;

/** Two engines, and one gateway. */
const system = new EndToEndSystem({ routeTimeoutMilliseconds: 20_000 });

before(() => system.start());

after(() => system.stop());

/** Opens a stream and reads nothing of it but its head. */
function openUnread(id: string): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      `${system.cluster.frontendUrl(system.gatewayIp)}/write/x`,
      {
        method: "POST",
        headers: {
          "Host": "desk.example",
          "Attempt-Id": id,
          "Deadline-Ms": "20000",
          "Authorization": "Bearer key-1",
          "Model": "model-1",
          "Token-Usage": "100,8",
        },
      },
      resolve,
    );
    outgoing.on("error", reject);
    outgoing.end("prompt");
  });
}

// Guards against a sound server that gets no more requests because a client
// doesn't read what it has sent.
test("a client that doesn't read makes no server silent", async () => {
  for (const engine of system.engines) engine.paddingBytes = PADDING_BYTES;
  const unread = await openUnread("unread");
  const server = system.engines.find(({ arrivals }) =>
    arrivals.some(({ id }) => id === "unread")
  )!;
  for (const engine of system.engines) engine.paddingBytes = 0;
  await sleep(2_500);
  const before = server.arrivals.length;
  const later = await Promise.all(
    Array.from({ length: STREAMS }, (_, index) => system.stream(`l-${index}`)),
  );
  const count = later.filter(({ status }) => status === 200).length;
  unread.destroy();
  assert.ok(server.arrivals.length > before, "it got no more requests");
  assert.equal(count, STREAMS);
});
