import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { ChangingSystem } from "./changing_system.ts";
import {
  buildEvents,
  buildHead,
  buildStreamRequest,
} from "./requests_under_way.ts";

const system = new ChangingSystem();
before(() => system.start());
after(() => system.stop());

// Guards against gateways that obey a configuration but for its limits.
test("limits of connections count as soon as a configuration is obeyed", async () => {
  const connection = await system.openConnection();
  for (const [seconds, announced] of [[3, 5], [9, 11], [4, 6]]) {
    await system.change({ limits: { idleTimeoutMs: seconds! * 1_000 } });
    const id = `limits-${system.version}`;
    const { head } = await connection.ask(buildHead("/look/", { id }));
    assert.match(head, new RegExp(`keep-alive: timeout=${announced}\\r`, "i"));
  }
  connection.close();
});

// Guards against requests that end by a time-out under which they weren't
// admitted, or without an answer.
test("a longer time-out doesn't hold a request that was admitted before", async () => {
  await system.change({ routes: { pay: { timeoutMs: 500 } } });
  const connection = await system.openConnection();
  system.plainServer.fallSilent(1_000);
  connection.send(buildHead("/pay/", { id: `slow-${system.version}` }));
  await system.change({});
  assert.equal((await connection.read()).status, 504);
  await sleep(600);
  const id = `after-slow-${system.version}`;
  assert.equal((await connection.ask(buildHead("/pay/", { id }))).status, 200);
  connection.close();
});

// Guards against half-read requests that are refused by bounds that aren't in
// force any more, or whose connection can't be used afterwards.
test("larger bounds count for a head that is sent, not for a body", async () => {
  const bounds = { maxHeaderBytes: 200, maxBodyBytes: 1_000 };
  await system.change({ limits: bounds });
  const [head, body] = [
    await system.openConnection(),
    await system.openConnection(),
  ];
  const id = `large-${system.version}`;
  const headText = buildHead("/look/", {
    id: `${id}-head`,
    headers: { Filler: "x".repeat(5_000) },
  });
  head.send(headText.slice(0, 1_000));
  const headers = { "Content-Length": "3000" };
  body.send(
    buildHead("/pay/", { id: `${id}-body`, method: "POST", headers }) +
      "x".repeat(500),
  );
  await system.change({});
  assert.equal((await head.ask(headText.slice(1_000))).status, 200);
  assert.equal((await body.ask("x".repeat(2_500))).status, 413);
  const next = buildHead("/pay/", {
    id: `${id}-next`,
    method: "POST",
    headers,
  });
  assert.equal((await body.ask(next + "x".repeat(3_000))).status, 200);
  assert.ok(!system.plainServer.ranRequestIds.includes(`${id}-body`));
  head.close();
  body.close();
});

// Guards against bodies that pause longer than the idle time under which they
// were admitted, and leave their connection unusable.
test("a body that pauses too long is refused, and its connection is kept", async () => {
  await system.change({ limits: { idleTimeoutMs: 400 } });
  const connection = await system.openConnection();
  const id = `pause-${system.version}`;
  const headers = { "Content-Length": "10" };
  const head = buildHead("/pay/", { id, method: "POST", headers });
  connection.send(`${head}first`);
  await system.change({});
  assert.equal((await connection.read()).status, 408);
  connection.send(" last");
  const next = buildHead("/look/", { id: `${id}-next` });
  assert.equal((await connection.ask(next)).status, 200);
  assert.ok(!system.plainServer.ranRequestIds.includes(id));
  connection.close();
});

// Guards against connections that a gateway closes while their clients may still
// use them: a longer idle time counts for connections that are idle already, and
// a shorter one doesn't.
test("idle connections are kept for the idle time that clients know", async () => {
  const longMilliseconds = 4_200;
  const clientMilliseconds = longMilliseconds * 4 / 5;
  const headerTimeoutMs = 300;
  const long = {
    limits: { idleTimeoutMs: longMilliseconds, headerTimeoutMs },
  };
  const open = async () => {
    const connection = await system.openConnection();
    const ask = async () => {
      const id = `idle-${performance.now()}`;
      const { status } = await connection.ask(buildHead("/look/", { id }));
      assert.equal(status, 200);
      return performance.now();
    };
    return { connection, ask };
  };
  const waitSince = (idleAt: number) =>
    sleep(idleAt + clientMilliseconds - performance.now());
  const [idle, announced] = [await open(), await open()];
  system.setEvents();
  await system.change(long);
  const idleAt = await idle.ask();
  announced.connection.send(buildStreamRequest(`idle-${system.version}`));
  await announced.connection.waitForBytes();
  await system.change({ limits: { idleTimeoutMs: 50, headerTimeoutMs } });
  assert.equal((await announced.connection.read()).status, 200);
  const announcedAt = performance.now();

  await waitSince(idleAt);
  await idle.ask();
  const late = await open();
  const lateAt = await late.ask();
  await waitSince(announcedAt);
  await announced.ask();
  await system.change(long);
  await waitSince(lateAt);
  await late.ask();
  for (const { connection } of [idle, announced, late]) connection.close();
});

// Guards against answers into which a gateway writes the refusal of what follows
// on the same connection. The test before leaves a short time for heads in force.
for (
  const [name, bytes, status] of [
    ["a next head that isn't completed in time", "GET /look", 408],
    ["bytes that are no request", "nonsense\r\n\r\n", 400],
  ] as const
) {
  test(`${name} harms no answer under way`, async () => {
    system.setEvents({ count: 15 });
    const connection = await system.openConnection();
    connection.send(buildStreamRequest(`before-${status}`) + bytes);
    const answer = await connection.read();
    assert.equal(answer.status, 200);
    assert.equal(answer.text, buildEvents(15));
    assert.equal((await connection.read()).status, status);
    connection.close();
  });
}

// Guards against requests that run although their client was told that they
// haven't: the rest of a head arrives after the refusal of its half.
test("a request whose half head was refused isn't run when the rest comes", async () => {
  const connection = await system.openConnection();
  const id = `refused-${system.version}`;
  const head = buildHead("/pay/", { id });
  connection.send(head.slice(0, 40));
  assert.equal((await connection.read()).status, 408);
  connection.send(head.slice(40));
  await sleep(300);
  assert.ok(!system.plainServer.ranRequestIds.includes(id));
  connection.close();
});
