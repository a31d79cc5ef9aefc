import assert from "node:assert/strict";
import { test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import { findPushbackFaults } from "./find_pushback_faults.ts";
import { sendSteadily } from "./send_steadily.ts";

const ENGINES = 4;
const GATEWAYS = 2;
/** Between two requests to each gateway: about half of the slots are in use. */
const INTERVAL_MILLISECONDS = 15;

const STREAM_EVENTS = 8;

type Requests = Awaited<ReturnType<typeof sendSteadily>>;

function findFaults(servers: FakeBackendServer[], requests: Requests) {
  const sent = new Map(requests.map((request) => [request.id, request]));
  return findPushbackFaults({ servers, sent, excuses: [] });
}

function findBusiest(servers: FakeBackendServer[]): FakeBackendServer {
  return servers.reduce((busiest, server) =>
    server.arrivals.length > busiest.arrivals.length ? server : busiest
  );
}

// Guards against gateways that go on sending requests to a backend server that
// rejects them with a Retry-After.
test("a backend server that says when to retry is left alone until then", async () => {
  const system = new EndToEndSystem({ engines: ENGINES, gateways: GATEWAYS });
  try {
    await system.start();
    const load = {
      gateways: system.gatewayIps,
      intervalMilliseconds: INTERVAL_MILLISECONDS,
    };
    const before = await sendSteadily(system, { ...load, milliseconds: 1_000 });
    const server = findBusiest(system.engines);
    server.retryAfter = "2";
    const during = await sendSteadily(system, { ...load, milliseconds: 5_000 });
    server.retryAfter = undefined;
    const after = await sendSteadily(system, { ...load, milliseconds: 4_000 });

    const all = [...before, ...during, ...after];
    assert.deepEqual(findFaults([server], all), []);
    const failed = during.filter(({ status }) => status !== 200);
    assert.equal(failed.length, 0, "other servers have room");
    const lastHalf = new Set(
      after.slice(after.length / 2).map(({ id }) => id),
    );
    const returned = server.arrivals.filter(({ id }) => lastHalf.has(id));
    assert.ok(returned.length > 0, "the server is used again afterwards");
  } finally {
    await system.stop();
  }
});

// Guards against streams that are resumed, and requests that are sent again, at
// a backend server that has asked for a pause.
test("broken streams are resumed elsewhere than at a pausing backend server", async () => {
  const system = new EndToEndSystem({
    engines: 3,
    gateways: 1,
    bounds: { retryBudgetSlack: 1_000 },
  });
  try {
    await system.start();
    await system.saveRetries();
    const [pausing, ...others] = system.engines;
    pausing!.retryAfter = "30";
    // The gateway hears of the pause, and saves up retries.
    await sendSteadily(system, {
      gateways: system.gatewayIps,
      intervalMilliseconds: INTERVAL_MILLISECONDS,
      milliseconds: 2_000,
    });
    assert.ok(pausing!.rejections.length > 0, "it has asked for a pause");
    const before = pausing!.arrivals.length;
    let brokenCount = 0;
    for (let index = 0; index < 20 && brokenCount < 3; index += 1) {
      const [breaking, sound] = index % 2 === 0 ? others : others.toReversed();
      breaking!.breakAfterEvents = [3];
      sound!.breakAfterEvents = [];
      const { status, text } = await system.stream(`stream-${index}`);
      assert.equal(status, 200);
      assert.equal(text.split("\n\n").length, STREAM_EVENTS + 1, text);
      if (breaking!.breakAfterEvents.length === 0) brokenCount += 1;
    }
    assert.ok(brokenCount > 0, "streams were broken");
    assert.equal(pausing!.arrivals.length, before);
  } finally {
    await system.stop();
  }
});

// Guards against requests that wait, or are sent anyway, while all backend
// servers have asked for a pause, and against clients that all return together.
test("with all backend servers pausing, clients are told when to return", async () => {
  const system = new EndToEndSystem({ engines: ENGINES, gateways: GATEWAYS });
  try {
    await system.start();
    const pauseSeconds = 3;
    for (const engine of system.engines) {
      engine.retryAfter = String(pauseSeconds);
    }
    const load = {
      gateways: system.gatewayIps,
      intervalMilliseconds: INTERVAL_MILLISECONDS,
    };
    const requests = await sendSteadily(system, {
      ...load,
      milliseconds: 2_500,
    });
    for (const engine of system.engines) engine.retryAfter = undefined;
    const after = await sendSteadily(system, { ...load, milliseconds: 6_000 });

    const faults = findFaults(system.engines, [...requests, ...after]);
    assert.deepEqual(faults, []);
    assert.ok(requests.every(({ status }) => status === 503));
    const told = requests.slice(requests.length / 2)
      .map(({ retryAfter }) => Number(retryAfter));
    assert.ok(told.every((seconds) => seconds > 0));
    assert.ok(Math.max(...told) <= 2 * pauseSeconds);
    assert.ok(new Set(told).size > told.length / 4, "the times are spread");
    const served = after.slice(-50).filter(({ status }) => status === 200);
    assert.equal(served.length, 50, "all servers are used again");
  } finally {
    await system.stop();
  }
});

// Guards against gateways that go on sending requests to a backend server whose
// answers say that it is shutting down.
test("a backend server whose answers say that it shuts down gets no more requests", async () => {
  const system = new EndToEndSystem({ engines: ENGINES, gateways: GATEWAYS });
  try {
    await system.start();
    const load = {
      gateways: system.gatewayIps,
      intervalMilliseconds: INTERVAL_MILLISECONDS,
    };
    await sendSteadily(system, { ...load, milliseconds: 1_000 });
    const server = findBusiest(system.engines);
    server.isLeaving = true;
    const requests = await sendSteadily(system, {
      ...load,
      milliseconds: 5_000,
    });
    assert.ok(server.leavingNotices.length > 0, "it says that it shuts down");
    assert.deepEqual(findFaults([server], requests), []);
    assert.ok(requests.every(({ status }) => status === 200));
  } finally {
    await system.stop();
  }
});
