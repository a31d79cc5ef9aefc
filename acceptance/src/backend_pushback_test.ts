import assert from "node:assert/strict";
import { test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import { sendSteadily } from "./send_steadily.ts";

const ENGINES = 4;
const GATEWAYS = 2;
/** Between two requests to each gateway: about half of the slots are in use. */
const INTERVAL_MILLISECONDS = 15;
/** Time in which a gateway has to obey a Retry-After. */
const REACTION_MILLISECONDS = 500;
/** Requests of one gateway that may reach the server before the time is up. */
const MAX_UNWANTED = 2;
/** Time in which a gateway has to obey that a server is shutting down. */
const DRAIN_MILLISECONDS = 2_000;

type Requests = Awaited<ReturnType<typeof sendSteadily>>;

/**
 * The most requests that reached the server from a gateway that it had asked to
 * stay away, over all of its Retry-After responses.
 */
function countUnwanted(server: FakeBackendServer, requests: Requests): number {
  const gatewayOf = new Map(requests.map(({ id, gateway }) => [id, gateway]));
  const counts = server.turnedAway.map(({ id, at, seconds }) =>
    server.arrivals.filter((arrival) =>
      gatewayOf.get(arrival.id) === gatewayOf.get(id) &&
      arrival.at > at + REACTION_MILLISECONDS &&
      arrival.at < at + 1_000 * seconds
    ).length
  );
  return Math.max(0, ...counts);
}

function findBusiest(servers: FakeBackendServer[]): FakeBackendServer {
  return servers.reduce((busiest, server) =>
    server.arrivals.length > busiest.arrivals.length ? server : busiest
  );
}

// Guards against gateways that go on sending requests to a backend server that
// turns them away and says for how long it wants none.
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

    const unwanted = countUnwanted(server, [...before, ...during, ...after]);
    assert.ok(unwanted <= MAX_UNWANTED, `${unwanted} requests from a gateway`);
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

    const all = [...requests, ...after];
    for (const engine of system.engines) {
      const unwanted = countUnwanted(engine, all);
      assert.ok(
        unwanted <= MAX_UNWANTED,
        `${unwanted} requests from a gateway`,
      );
    }
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
    const byId = new Map(requests.map((request) => [request.id, request]));
    const firstNotice = new Map<string, number>();
    for (const { id, at } of server.leavingNotices) {
      const gateway = byId.get(id)?.gateway ?? "";
      if (!firstNotice.has(gateway)) firstNotice.set(gateway, at);
    }
    const late = server.arrivals.filter(({ id }) => {
      const request = byId.get(id);
      const noticeAt = firstNotice.get(request?.gateway ?? "") ?? Infinity;
      return (request?.sentAt ?? 0) > noticeAt + DRAIN_MILLISECONDS;
    });
    assert.ok(firstNotice.size > 0, "the server has said that it shuts down");
    assert.equal(late.length, 0, `${late.length} requests sent too late`);
    assert.ok(requests.every(({ status }) => status === 200));
  } finally {
    await system.stop();
  }
});
