import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "./end_to_end_system.ts";
import { sendTracedRequest } from "./send_traced_request.ts";
import { streamText } from "./stream_text.ts";

const EVENTS = 2;
const EVENT_INTERVAL_MILLISECONDS = 400;
const SILENCE_MILLISECONDS = 1_900;
const ROUTE_TIMEOUT_MILLISECONDS = 8_000;
/** Requests that earn the gateway a few retries. */
const REQUESTS_BEFORE = 40;

// Guards against a stream whose events have all arrived and that never ends: its
// server falls silent before the end, and the one that takes over has no event.
test("a stream ends though its server is silent between the last event and the end", async () => {
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
    for (let count = 0; count < REQUESTS_BEFORE; count += 1) {
      await stream(`before-${count}`);
    }
    for (const engine of system.engines) {
      engine.eventIntervalMilliseconds = EVENT_INTERVAL_MILLISECONDS;
    }
    const answer = stream("silent-end");
    await sleep((EVENTS - 0.5) * EVENT_INTERVAL_MILLISECONDS);
    const [server] = system.engines.filter(({ ranRequestIds }) =>
      ranRequestIds.includes("silent-end")
    );
    server!.fallSilent(SILENCE_MILLISECONDS);
    const { status, isWhole, text, error } = await answer;
    const received = system.engines.filter(({ receivedRequestIds }) =>
      receivedRequestIds.includes("silent-end")
    );
    assert.equal(received.length, 2, "another server has taken over");
    assert.deepEqual({ status, isWhole, error }, {
      status: 200,
      isWhole: true,
      error: "",
    });
    assert.equal(text, streamText(EVENTS));
  } finally {
    await system.stop();
  }
});
