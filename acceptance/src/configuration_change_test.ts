import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { ChangingSystem } from "./changing_system.ts";
import { type Expected, LINES } from "./configuration_change_lines.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import type { KeptConnection } from "./kept_connection.ts";
import {
  buildEvents,
  buildStreamRequest,
  RequestsUnderWay,
} from "./requests_under_way.ts";

const CHECK_TIMEOUT_MILLISECONDS = 10_000;

const system = new ChangingSystem();
before(() => system.start());
after(() => system.stop());

for (const { name, change, ...expected } of LINES) {
  // Guards against requests that a change of the configuration cuts off, refuses
  // after they were admitted, sends elsewhere or handles twice.
  test(`requests under way outlast a change: ${name}`, () =>
    checkUnderWay(() => system.change(change), expected));
}

/** Checks that requests in each state end as they were admitted. */
async function checkUnderWay(
  change: () => Promise<void>,
  { halfHead = 200, next = {}, runByOther = [] }: Expected = {},
): Promise<void> {
  system.setEvents();
  await system.change({});
  const name = `v${system.version}`;
  const underWay = await RequestsUnderWay.begin(system, name);
  await change();
  await system.waitForChecks();
  assert.deepEqual(await underWay.complete(), {
    look: { status: 200, text: underWay.echo("GET", "look") },
    pay: { status: 200, text: underWay.echo("POST", "pay", "first last") },
    write: { status: 200, text: buildEvents() },
    halfBody: {
      status: 200,
      text: underWay.echo("POST", "pay", "first last", "half-body"),
    },
    halfHead,
  });
  system.setEvents({ interval: 5 });
  const usual = { look: 200, pay: 200, write: 200 };
  assert.deepEqual(await underWay.askAgain(), { ...usual, ...next });
  underWay.close();
  await checkLog(name);
  const idsOf = ({ ranRequestIds }: FakeBackendServer) =>
    ranRequestIds.filter((id) => id.startsWith(`${name}-`));
  assert.deepEqual(
    idsOf(system.otherServer).sort(),
    runByOther.map((part) => `${name}-${part}`).sort(),
  );
  const ran = idsOf(system.plainServer);
  assert.equal(new Set(ran).size, ran.length, "a request ran twice");
}

/** Checks that the log names the configuration that admitted the requests. */
async function checkLog(name: string): Promise<void> {
  const { child } = system.cluster.findHost(system.gatewayNames[0]!);
  for (const part of ["look", "pay", "write", "half-body"]) {
    const line = new RegExp(`event=request-ended id=${name}-${part} .*`);
    const findLine = () => line.exec(child.output)?.[0] ?? "";
    await waitUntil(() => findLine() !== "", CHECK_TIMEOUT_MILLISECONDS);
    assert.match(findLine(), new RegExp(`configuration=${name.slice(1)}$`));
  }
}

// Guards against changes that come late, or that aren't one: an older version
// that arrives after a newer one, and a version that is refused.
test("requests under way outlast versions that don't come into force", async () => {
  await checkUnderWay(async () => {
    const overtaken = system.skipVersion();
    await system.change({});
    assert.ok(await system.configure(overtaken, { routes: { pay: null } }));
    const unreadable = await system.callControlHost("PUT", "/config", "{");
    assert.equal(unreadable.status, 400);
    const invalid = { routes: { look: { service: "nobody" }, write: null } };
    assert.equal(await system.configure(system.version + 1, invalid), false);
  });
});

// Guards against streams that can't resume after a change, though they were
// admitted with a second attempt: their engine breaks them off.
for (
  const [name, routes] of Object.entries({
    "other rules": { write: { type: "unsafe", maxAttempts: 1 } },
    "no route": { write: null },
  })
) {
  test(`a stream that breaks off after a change to ${name} resumes`, async () => {
    system.setEvents();
    await system.change({});
    for (const engine of system.engines) engine.breakAfterEvents = [8];
    const connection = await system.openConnection();
    connection.send(buildStreamRequest(`break-${system.version}`));
    await connection.waitForBytes();
    for (const engine of system.engines) engine.breakAfterEvents = [];
    await system.change({ routes });
    const { status, text } = await connection.read();
    assert.deepEqual({ status, text }, { status: 200, text: buildEvents() });
    connection.close();
  });
}

// Guards against answers that break off because their backend server leaves, and
// against requests that are sent to it afterwards.
test("requests under way outlast the end of their engine's registration", async () => {
  const gone = system.engines[0]!;
  await checkUnderWay(async () => {
    await beginStreams(gone);
    const path = `/instances/${gone.instance}`;
    const { status } = await system.callControlHost("DELETE", path);
    assert.equal(status, 200);
  });
  await checkStreams();
  assert.ok(!gone.ranRequestIds.includes(`v${system.version}-again-write`));
});

// Guards against streams that are lost with their engine's process, and against
// an engine that gets no requests after it was started again under its name.
test("requests under way outlast an engine that starts again under its name", async () => {
  const restarted = system.engines[0]!;
  const ranBefore = restarted.ranRequestIds.length;
  await checkUnderWay(async () => {
    await restarted.crash();
  });
  const isUsed = async () => {
    await system.stream(`restarted-${performance.now()}`);
    return restarted.ranRequestIds.length > ranBefore;
  };
  assert.ok(await waitUntil(isUsed, CHECK_TIMEOUT_MILLISECONDS));
  await checkUnderWay(async () => {
    await beginStreams(restarted);
    await restarted.crash();
  });
  await checkStreams();
});

// Guards against answers that break off because their backend server announces
// that it leaves.
test("requests under way outlast a server that drains", async () => {
  const draining = system.engines[1]!;
  const isBack = () => system.engines.every(({ version }) => version === 1);
  assert.ok(await waitUntil(isBack, CHECK_TIMEOUT_MILLISECONDS));
  await checkUnderWay(async () => {
    await beginStreams(draining);
    system.announceLeaving(draining);
  });
  await checkStreams();
  assert.ok(!draining.ranRequestIds.includes(`v${system.version}-again-write`));
});

let streams: KeptConnection[] = [];

/** Begins streams until one of them is at the given engine. */
async function beginStreams(engine: FakeBackendServer): Promise<void> {
  const ranBefore = engine.ranRequestIds.length;
  while (engine.ranRequestIds.length === ranBefore) {
    const connection = await system.openConnection();
    streams.push(connection);
    connection.send(buildStreamRequest(`at-${performance.now()}`));
    await connection.waitForBytes();
  }
}

async function checkStreams(): Promise<void> {
  for (const connection of streams) {
    const { status, text } = await connection.read();
    assert.deepEqual({ status, text }, { status: 200, text: buildEvents() });
    connection.close();
  }
  streams = [];
}
