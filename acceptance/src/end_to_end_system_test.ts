import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { createConnection } from "node:net";
import { test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";

const CHECK_TIMEOUT_MILLISECONDS = 10_000;
const STREAM = Array.from(
  { length: 8 },
  (_, index) => `id: ${index + 1}\ndata: t${index + 1}\n\n`,
).join("");

async function withSystem(scenario: (system: EndToEndSystem) => Promise<void>) {
  const system = new EndToEndSystem();
  let keepLogs = true;
  try {
    await system.start();
    await scenario(system);
    keepLogs = false;
  } finally {
    await system.stop({ keepLogs });
  }
}

/** Sends raw bytes and returns the status of the response, 0 for none. */
function sendRaw(system: EndToEndSystem, text: string): Promise<number> {
  const url = new URL(system.cluster.frontendUrl(system.gatewayIp));
  return new Promise((resolve) => {
    const socket = createConnection(Number(url.port), url.hostname);
    let answer = "";
    socket.on("data", (bytes) => {
      answer += bytes;
    });
    socket.on("error", () => resolve(0));
    socket.on("close", () => resolve(Number(answer.split(" ")[1] ?? 0)));
    socket.write(text);
  });
}

test("safe, unsafe and streaming requests get complete responses", async () => {
  await withSystem(async (system) => {
    const look = await system.sendRequest("/look/a?b=c", { id: "a1" });
    assert.equal(look.status, 200);
    assert.equal(look.text, "GET /look/a?b=c tenant-1 ");
    const pay = await system.sendRequest("/pay/", {
      id: "a2",
      method: "POST",
      body: "one seat",
    });
    assert.equal(pay.text, "POST /pay/ tenant-1 one seat");
    assert.equal(pay.headers.get("attempt-id"), "a2");
    const stream = await system.stream("a3");
    assert.equal(stream.text, STREAM);

    assert.equal(
      (await system.sendRequest("/none/", { id: "a4" })).status,
      404,
    );
    assert.equal(
      (await system.sendRequest("/look/", { id: "a5", host: "other.example" }))
        .status,
      404,
    );
    assert.equal(
      (await system.sendRequest("/look/", { id: "a6", key: "nobody" })).status,
      401,
    );
    assert.deepEqual(
      system.plainServer.ranRequestIds,
      ["a1", "a2"],
    );
  });
});

test("a broken stream resumes on another backend server", async () => {
  // Guards against clients that lose or repeat events, or take a truncated
  // stream for complete: an engine breaks off in the middle of an event. The
  // client must still receive each event once, and the end of the stream. If
  // the resumed stream breaks as well, the client must see that the response is
  // broken.
  await withSystem(async (system) => {
    await system.saveRetries();
    for (const engine of system.engines) engine.breakAfterEvents = [3];
    const broken = system.stream("b1");
    await assert.rejects(broken);
    for (const engine of system.engines) engine.breakAfterEvents = [];
    system.engines[0]!.breakAfterEvents = [5];
    for (
      let round = 0;
      system.engines[0]!.breakAfterEvents.length > 0;
      round += 1
    ) {
      const whole = await system.stream(`b2-${round}`);
      assert.equal(whole.text, STREAM);
      assert.ok(round < 50);
    }
  });
});

test("a stream resumes on another engine when its engine's host freezes", async () => {
  // Guards against streams that hang: an engine's host freezes while the engine
  // serves streams and gateways keep connections to it. No error occurs, so
  // each of these streams, and each request sent to the engine afterwards,
  // would wait until its client gives up. Within a second, they must resume on
  // another engine after the last event that was forwarded.
  await withSystem(async (system) => {
    await system.saveRetries();
    const [frozen, other] = system.engines;
    const longDeadline = { "Deadline-Ms": "8000" };
    const streams = Array.from(
      { length: 6 },
      (_, index) => system.stream(`f${index}`, longDeadline),
    );
    await waitUntil(
      () => frozen!.ranRequestIds.length > 0,
      CHECK_TIMEOUT_MILLISECONDS,
    );
    frozen!.isFrozen = true;
    for (const { status, text } of await Promise.all(streams)) {
      assert.equal(status, 200);
      assert.equal(text, STREAM);
    }
    assert.ok(other!.ranRequestIds.length >= streams.length);
    const later = await system.stream("f-later", longDeadline);
    assert.equal(later.text, STREAM);
  });
});

test("new weights are distributed, verified and loaded on all engines", async () => {
  await withSystem(async (system) => {
    assert.equal((await system.nameWeights(2)).status, 200);
    assert.equal((await system.nameWeights(2)).status, 200);
    assert.equal((await system.nameWeights(1)).status, 200);
    const loaded = await waitUntil(
      () => system.engines.every(({ version }) => version === 2),
      CHECK_TIMEOUT_MILLISECONDS,
    );
    assert.ok(loaded);
    const served = await waitUntil(
      async () => (await system.stream("c1")).status === 200,
      CHECK_TIMEOUT_MILLISECONDS,
    );
    assert.ok(served);
  });
});

test("a valid configuration is applied, an invalid one is refused", async () => {
  await withSystem(async (system) => {
    assert.equal(await system.configure(7, { keys: ["key-2"] }), true);
    const changed = await waitUntil(
      async () =>
        (await system.sendRequest("/look/", { id: "d1" })).status === 401,
      CHECK_TIMEOUT_MILLISECONDS,
    );
    assert.ok(changed);
    const changedKey = await system.sendRequest("/look/", {
      id: "d2",
      key: "key-2",
    });
    assert.equal(changedKey.status, 200);
    // An older version that is sent again is accepted but changes nothing.
    assert.equal(await system.configure(6, { keys: ["key-1"] }), true);
    const { text } = await system.callControlHost("GET", "/config");
    assert.equal(JSON.parse(text).version, 7);
    for (const bad of ["{", JSON.stringify({ version: 9 }), "[]"]) {
      const answer = await system.callControlHost("PUT", "/config", bad);
      assert.equal(answer.status, 400);
    }
    const invalidHeartbeat = { service: "plain", state: "ready" };
    const rejected = await system.callControlHost(
      "PUT",
      "/instances/other",
      invalidHeartbeat,
    );
    assert.equal(rejected.status, 400);
    assert.equal(
      (await system.sendRequest("/look/", { id: "d3", key: "key-2" })).status,
      200,
    );
  });
});

test("malformed requests get an error status, and the gateway keeps serving", async () => {
  await withSystem(async (system) => {
    const head = "GET /look/ HTTP/1.1\r\nHost: desk.example\r\n" +
      "Authorization: Bearer key-1\r\n";
    const faultyRequests: [string, number][] = [
      ["nonsense\r\n\r\n", 400],
      [`${head}Connection: close\r\n\r\n`, 400],
      [`${head}Attempt-Id: e1\r\nX: ${"x".repeat(20_000)}\r\n\r\n`, 431],
      [
        `${head}Attempt-Id: e2\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc`,
        400,
      ],
      [
        `${head}Attempt-Id: e3\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
        400,
      ],
      [
        `${head}Attempt-Id: e4\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n`,
        400,
      ],
      [
        `${head}Attempt-Id: e5\r\nConnection: close\r\nContent-Length: 70000\r\n\r\n${
          "x".repeat(70_000)
        }`,
        413,
      ],
      [head, 408],
    ];
    for (const [text, status] of faultyRequests) {
      assert.equal(await sendRaw(system, text), status, text.slice(90, 150));
    }
    assert.equal(
      (await system.sendRequest("/look/", { id: "e9" })).status,
      200,
    );
    assert.deepEqual(system.plainServer.ranRequestIds, ["e9"]);
  });
});

test("the header size limit follows the configuration up and down", async () => {
  // Guards against gateways that keep the limit with which they started: after
  // an operator raised the limit, they refused requests within the new one with
  // 431.
  await withSystem(async (system) => {
    const ask = async (id: string, bytes: number) => {
      const headers = { Filler: "x".repeat(bytes) };
      return (await system.sendRequest("/look/", { id, headers })).status;
    };
    assert.equal(await ask("h1", 10_000), 200);
    assert.equal(await ask("h2", 20_000), 431);
    assert.ok(
      await system.configure(2, { limits: { maxHeaderBytes: 32_768 } }),
    );
    const allowed = await waitUntil(
      async () => await ask("h3", 20_000) === 200,
      CHECK_TIMEOUT_MILLISECONDS,
    );
    assert.ok(allowed);
    assert.ok(await system.configure(3, { limits: { maxHeaderBytes: 4_096 } }));
    const refused = await waitUntil(
      async () => await ask("h4", 10_000) === 431,
      CHECK_TIMEOUT_MILLISECONDS,
    );
    assert.ok(refused);
  });
});

test("a leaving server gets no new requests, and a stopping gateway drains", async () => {
  // Guards against responses broken by planned stops. An engine announces that
  // it is leaving while it still serves; after a second, all new streams must
  // go to the other engine. Then the gateway is stopped with SIGTERM during a
  // stream; the stream must end before the gateway exits.
  await withSystem(async (system) => {
    const [leaving, staying] = system.engines;
    system.announceLeaving(leaving!);
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    const before = leaving!.ranRequestIds.length;
    for (let call = 0; call < 10; call += 1) await system.stream(`f${call}`);
    assert.equal(leaving!.ranRequestIds.length, before);
    assert.ok(staying!.ranRequestIds.length >= 10);

    const gateway = system.cluster.findHost(system.gatewayNames[0]!);
    const stream = system.stream("f-last");
    gateway.child.signal("SIGTERM");
    assert.equal((await stream).text, STREAM);
    assert.equal(await system.isReady(), false);
    assert.equal(await gateway.child.exited, 0);
  });
});
