import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
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

// Guards against streams that begin on weights that became too old in a silence,
// and against callers who then wait in vain or are told that nothing ran.
test("streams at silent servers whose weights become too old end as unknown at once", async () => {
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
    const sentAt = performance.now();
    const answers = await Promise.all(
      Array.from({ length: REQUESTS }, (_, index) => stream(`old-${index}`)),
    );
    const received = system.engines.flatMap(({ receivedRequestIds }) =>
      receivedRequestIds.filter((id) => id.startsWith("old-"))
    );
    assert.ok(received.length > 0, "they were sent to the silent servers");
    for (const { status, isWhole, text } of answers) {
      assert.ok(isWhole);
      if (status === 502) assert.match(text, /weights are too old/);
      else assert.equal(status, 503, "not sent at all");
    }
    const milliseconds = performance.now() - sentAt;
    assert.ok(milliseconds < SILENCE_MILLISECONDS, `${milliseconds}`);
    await sleep(SILENCE_MILLISECONDS);
    const begun = system.engines.flatMap(({ ranRequestIds }) =>
      ranRequestIds.filter((id) => id.startsWith("old-"))
    );
    assert.deepEqual(begun, [], "none begins on the old weights");
  } finally {
    await system.stop();
  }
});
