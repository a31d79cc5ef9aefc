import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { createConnection } from "node:net";
import { test } from "node:test";
import { WholePath } from "./whole_path.ts";

const CHECK_MILLISECONDS = 10_000;
const STREAM = Array.from(
  { length: 8 },
  (_, index) => `id: ${index + 1}\ndata: t${index + 1}\n\n`,
).join("");

async function withWholePath(story: (path: WholePath) => Promise<void>) {
  const path = new WholePath();
  try {
    await path.start();
    await story(path);
  } finally {
    await path.stop();
  }
}

/** Sends raw bytes; gives back the status of the answer, 0 for none. */
function sendRaw(path: WholePath, text: string): Promise<number> {
  const url = new URL(path.platform.frontOf(path.gatewayIp));
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

test("safe, unsafe and streaming requests are served whole", async () => {
  await withWholePath(async (path) => {
    const look = await path.ask("/look/a?b=c", { id: "a1" });
    assert.equal(look.status, 200);
    assert.equal(look.text, "GET /look/a?b=c tenant-1 ");
    const pay = await path.ask("/pay/", {
      id: "a2",
      method: "POST",
      body: "one seat",
    });
    assert.equal(pay.text, "POST /pay/ tenant-1 one seat");
    assert.equal(pay.headers.get("attempt-id"), "a2");
    const stream = await path.write("a3");
    assert.equal(stream.text, STREAM);

    assert.equal((await path.ask("/none/", { id: "a4" })).status, 404);
    assert.equal(
      (await path.ask("/look/", { id: "a5", host: "other.example" })).status,
      404,
    );
    assert.equal(
      (await path.ask("/look/", { id: "a6", key: "nobody" })).status,
      401,
    );
    assert.deepEqual(
      path.plain.ran,
      ["a1", "a2"],
    );
  });
});

test("a stream that breaks off goes on at another backend server", async () => {
  // Story: an engine dies in the middle of an event. The client sees every
  // event once, and the end; a second break in the same answer is an end
  // that shows as broken.
  await withWholePath(async (path) => {
    for (const engine of path.engines) engine.breaksAfter = [3];
    const broken = path.write("b1");
    await assert.rejects(broken);
    for (const engine of path.engines) engine.breaksAfter = [];
    path.engines[0]!.breaksAfter = [5];
    for (let round = 0; path.engines[0]!.breaksAfter.length > 0; round += 1) {
      const whole = await path.write(`b2-${round}`);
      assert.equal(whole.text, STREAM);
      assert.ok(round < 50);
    }
  });
});

test("a stream goes on elsewhere when its engine's host freezes", async () => {
  // Story: a host freezes with streams under way and connections kept to it.
  // No error tells: each stream, and each request sent there afterwards, would
  // wait until its client gives up. They go on at another engine within a
  // second, behind the last event that was passed on.
  await withWholePath(async (path) => {
    const [frozen, other] = path.engines;
    const patient = { "Deadline-Ms": "8000" };
    const streams = Array.from(
      { length: 6 },
      (_, index) => path.write(`f${index}`, patient),
    );
    await waitUntil(() => frozen!.ran.length > 0, CHECK_MILLISECONDS);
    frozen!.isFrozen = true;
    for (const { status, text } of await Promise.all(streams)) {
      assert.equal(status, 200);
      assert.equal(text, STREAM);
    }
    assert.ok(other!.ran.length >= streams.length);
    const later = await path.write("f-later", patient);
    assert.equal(later.text, STREAM);
  });
});

test("a named version is spread, checked and loaded everywhere", async () => {
  await withWholePath(async (path) => {
    assert.equal((await path.nameWeights(2)).status, 200);
    assert.equal((await path.nameWeights(2)).status, 200);
    assert.equal((await path.nameWeights(1)).status, 200);
    const loaded = await waitUntil(
      () => path.engines.every(({ version }) => version === 2),
      CHECK_MILLISECONDS,
    );
    assert.ok(loaded);
    const served = await waitUntil(
      async () => (await path.write("c1")).status === 200,
      CHECK_MILLISECONDS,
    );
    assert.ok(served);
  });
});

test("changes stand everywhere, faulty ones nowhere", async () => {
  await withWholePath(async (path) => {
    assert.equal(await path.configure(7, ["key-2"]), true);
    const changed = await waitUntil(
      async () => (await path.ask("/look/", { id: "d1" })).status === 401,
      CHECK_MILLISECONDS,
    );
    assert.ok(changed);
    const stands = await path.ask("/look/", { id: "d2", key: "key-2" });
    assert.equal(stands.status, 200);
    // An older change that arrives again is acknowledged and changes nothing.
    assert.equal(await path.configure(6, ["key-1"]), true);
    const { text } = await path.operate("GET", "/config");
    assert.equal(JSON.parse(text).version, 7);
    for (const bad of ["{", JSON.stringify({ version: 9 }), "[]"]) {
      const answer = await path.operate("PUT", "/config", bad);
      assert.equal(answer.status, 400);
    }
    const heartbeat = { service: "plain", state: "ready" };
    const unreadable = await path.operate(
      "PUT",
      "/instances/other",
      heartbeat,
    );
    assert.equal(unreadable.status, 400);
    assert.equal(
      (await path.ask("/look/", { id: "d3", key: "key-2" })).status,
      200,
    );
  });
});

test("what is no sound request gets its status, and the gateway goes on", async () => {
  await withWholePath(async (path) => {
    const head = "GET /look/ HTTP/1.1\r\nHost: desk.example\r\n" +
      "Authorization: Bearer key-1\r\n";
    const faults: [string, number][] = [
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
    for (const [text, status] of faults) {
      assert.equal(await sendRaw(path, text), status, text.slice(90, 150));
    }
    assert.equal((await path.ask("/look/", { id: "e9" })).status, 200);
    assert.deepEqual(path.plain.ran, ["e9"]);
  });
});

test("the bound on headers is the configuration's, larger or smaller", async () => {
  // Story: an operator allows larger headers than before. Requests that keep to
  // the new bound were refused with 431, for as long as the gateway ran.
  await withWholePath(async (path) => {
    const ask = async (id: string, bytes: number) => {
      const headers = { Filler: "x".repeat(bytes) };
      return (await path.ask("/look/", { id, headers })).status;
    };
    assert.equal(await ask("h1", 10_000), 200);
    assert.equal(await ask("h2", 20_000), 431);
    assert.ok(await path.configure(2, undefined, 32_768));
    const allowed = await waitUntil(
      async () => await ask("h3", 20_000) === 200,
      CHECK_MILLISECONDS,
    );
    assert.ok(allowed);
    assert.ok(await path.configure(3, undefined, 4_096));
    const refused = await waitUntil(
      async () => await ask("h4", 10_000) === 431,
      CHECK_MILLISECONDS,
    );
    assert.ok(refused);
  });
});

test("who leaves gets no new work, and a stop cuts off nothing", async () => {
  // Story: an engine announces that it leaves while it still answers; within
  // two seconds all new streams go elsewhere. Then the gateway is stopped as
  // planned with a stream under way: it is ended first.
  await withWholePath(async (path) => {
    const [leaving, staying] = path.engines;
    path.leave(leaving!);
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    const before = leaving!.ran.length;
    for (let round = 0; round < 10; round += 1) await path.write(`f${round}`);
    assert.equal(leaving!.ran.length, before);
    assert.ok(staying!.ran.length >= 10);

    const gateway = path.platform.find(path.gatewayNames[0]!);
    const stream = path.write("f-last");
    gateway.child.signal("SIGTERM");
    assert.equal((await stream).text, STREAM);
    assert.equal(await path.isReady(), false);
    assert.equal(await gateway.child.exited, 0);
  });
});
