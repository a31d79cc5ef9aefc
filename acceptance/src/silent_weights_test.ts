import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "./end_to_end_system.ts";
import { sendTracedRequest } from "./send_traced_request.ts";

const EVENTS = 8;
const ROUTE_TIMEOUT_MILLISECONDS = 8_000;
const WEIGHTS_BOUND_MILLISECONDS = 8_000;
/** Requests are sent to old weights until 1.5 s before they are too old. */
const LEAD_MILLISECONDS = 1_900;
const SILENCE_MILLISECONDS = 1_900;
const REQUESTS = 12;

// Guards against streams that end in 502 because the weights of their silent
// server become too old before it begins, though they may be refused.
test("streams at silent servers whose weights become too old are refused", async () => {
  const system = new EndToEndSystem({
    routeTimeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
  });
  const stream = (id: string) =>
    sendTracedRequest({
      id,
      kind: "stream",
      gateway: system.gatewayIp,
      url: system.cluster.frontendUrl(system.gatewayIp),
      deadlineMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
      events: EVENTS,
    });
  try {
    await system.start();
    // No engine can load the new version.
    system.store.close();
    assert.equal((await system.nameWeights(2)).status, 200);
    await sleep(WEIGHTS_BOUND_MILLISECONDS - LEAD_MILLISECONDS);
    for (const engine of system.engines) {
      engine.fallSilent(SILENCE_MILLISECONDS);
    }
    const answers = await Promise.all(
      Array.from({ length: REQUESTS }, (_, index) => stream(`old-${index}`)),
    );
    const received = system.engines.flatMap(({ receivedRequestIds }) =>
      receivedRequestIds.filter((id) => id.startsWith("old-"))
    );
    assert.ok(received.length > 0, "they were sent to the silent servers");
    const statuses = answers.map(({ status, isWhole }) => isWhole ? status : 0);
    assert.deepEqual(
      statuses.filter((status) => status !== 200 && status !== 503),
      [],
    );
  } finally {
    await system.stop();
  }
});
