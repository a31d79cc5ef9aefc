import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { sendRequest } from "./send_request.ts";
import { withSystem } from "./with_system.ts";
import type { EntryFixture } from "./entry_fixture.ts";
import { withEntryFixture } from "./with_entry_fixture.ts";

const SILENCE_MILLISECONDS = 2_000;
const TIMEOUT_MILLISECONDS = 10_000;
const STOP_START_MILLISECONDS = 100;
const CONTRACT_CHANGE = {
  expected: 1,
  content: { requests_per_second: 350, burst: 200, services: ["drafter"] },
};
/** What entry hosts say in Keep-Alive. */
const ANNOUNCED_IDLE_MILLISECONDS = 5_000;
/** A stopping entry host waits that long for requests on open connections. */
const QUIET_MILLISECONDS = 500;
/** Longer than the fixture's callers may take for a head. */
const BEHIND_MILLISECONDS = 3_000;
const HALF_MILLISECONDS = 300;
const CALLS = 8;
const LIVE_REQUEST = "GET /live HTTP/1.1\r\nHost: x\r\n\r\n";
const LINE = "a line of the answer\n";

/** Makes a call; `onHead` is called with its first bytes. */
async function makeCall(
  fixture: EntryFixture,
  onHead: () => void,
  deadlineMilliseconds = 5_000,
): Promise<string> {
  const url = `http://${fixture.address}/v1/services/portal/run`;
  try {
    const answer = await fetch(url, {
      method: "POST",
      headers: {
        "Teaselrouter-Workspace": "desk",
        "Teaselrouter-Deadline-Ms": String(deadlineMilliseconds),
      },
      body: "a summary",
    });
    onHead();
    return `${answer.status} ${await answer.text()}`;
  } catch {
    return "cut";
  }
}

// Guards against an answer lost as its agent ends while the path to it, or the
// entry host that reads it, stands still.
test("a planned stop of an agent beside a silence of two seconds costs no answer", async () => {
  let heads = 0;
  const unfinished: ServerResponse[] = [];
  await withEntryFixture((_request, response) => {
    response.write(LINE);
    unfinished.push(response);
  }, async (fixture) => {
    const calls = Array.from(
      { length: CALLS },
      () => makeCall(fixture, () => heads += 1),
    );
    assert.ok(await waitUntil(() => heads === CALLS, TIMEOUT_MILLISECONDS));
    fixture.relay.hold();
    for (const response of unfinished) response.end(LINE);
    const stopped = fixture.stopAgent();
    await sleep(SILENCE_MILLISECONDS);
    fixture.relay.release();
    const answers = await Promise.all(calls);
    assert.deepEqual([...new Set(answers)], [`200 ${LINE}${LINE}`]);
    await stopped;
  });
});

// Guards against a backend server's answer to another protocol, which ended
// neither the call nor its use of a slot.
test("an answer that switches protocols fails at once and frees its slot", async () => {
  await withEntryFixture((_request, response) => {
    response.socket!.write(
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" +
        "Connection: Upgrade\r\n\r\n",
    );
  }, async (fixture) => {
    const startedAt = performance.now();
    const answer = await makeCall(fixture, () => undefined);
    assert.match(answer, /^502 .*no-http-answer/);
    assert.ok(performance.now() - startedAt < 1_000);
    assert.equal(fixture.runningCalls, 0);
  });
});

// Guards against an answer that is broken, or never sent, by what its caller sends
// behind a whole request.
test("bytes behind a whole request do not touch its answer", async () => {
  for (const behind of ["POST /v1/serv", "\x16\x03\x01 no request\r\n\r\n"]) {
    await withEntryFixture(async (_request, response) => {
      response.write(LINE);
      await sleep(BEHIND_MILLISECONDS);
      response.end(LINE);
    }, async (fixture) => {
      const [host, port] = fixture.address.split(":");
      const socket = connect({ host: host!, port: Number(port) });
      let text = "";
      socket.on("data", (bytes) => text += bytes);
      const closed = once(socket, "close");
      socket.write(
        "POST /v1/services/portal/run HTTP/1.1\r\nHost: x\r\n" +
          `Teaselrouter-Workspace: desk\r\nContent-Length: 0\r\n\r\n${behind}`,
      );
      await closed;
      const [answer] = text.split("\r\n0\r\n\r\n");
      assert.match(answer!, /^HTTP\/1.1 200 /);
      assert.equal(answer!.split(LINE).length, 3, text);
      assert.ok(!answer!.includes("HTTP/1.1 408"), text);
    });
  }
});

// Guards against a caller's broken answer that the log can't explain.
test("an answer that breaks off is reported with its reason, once", async () => {
  const answers = {
    "server-broke-off": (response: ServerResponse) => {
      response.write(LINE);
      setTimeout(() => response.destroy(), 100);
    },
    "time-over": (response: ServerResponse) => void response.write(LINE),
  };
  for (const [reason, answer] of Object.entries(answers)) {
    await withEntryFixture(
      (_request, response) => answer(response),
      async (fixture) => {
        assert.equal(await makeCall(fixture, () => undefined, 1_000), "cut");
        assert.deepEqual(fixture.cuts.map((cut) => cut.reason), [reason]);
        const { silentMilliseconds, retriesLeft } = fixture.cuts[0]!;
        assert.ok(silentMilliseconds < 900, `${silentMilliseconds} ms`);
        assert.equal(retriesLeft, 10);
      },
    );
  }
});

// Guards against a half-read request that a change of its contract leaves
// without an answer or a refusal.
test("a request that is half read as its contract changes is answered or refused", async () => {
  const changes = [
    [{ services: ["other"] }, "200"],
    [{ maximum_body_bytes: 1 }, "200"],
    [{ requests_per_second: 0.001, burst: 1 }, "200"],
    [{ retired: true }, "429"],
  ] as const;
  await withEntryFixture((_request, response) => {
    response.end(LINE);
  }, async (fixture) => {
    for (const [change, status] of changes) {
      fixture.setContract({});
      const answer = sendInHalves(fixture);
      await sleep(HALF_MILLISECONDS / 2);
      fixture.setContract(change);
      assert.match(await answer, new RegExp(`^HTTP/1.1 ${status} `));
    }
    assert.deepEqual(fixture.faults, []);
  });
});

/** Sends a request, the second half of its body later; returns its answer. */
function sendInHalves(fixture: EntryFixture): Promise<string> {
  const [host, port] = fixture.address.split(":");
  const socket = connect({ host: host!, port: Number(port) });
  socket.write(
    "POST /v1/services/portal/run HTTP/1.1\r\nHost: x\r\n" +
      "Teaselrouter-Workspace: desk\r\nContent-Length: 10\r\n\r\n12345",
  );
  setTimeout(() => socket.write("67890"), HALF_MILLISECONDS);
  return new Promise((resolve) => {
    socket.once("data", (bytes) => {
      resolve(String(bytes));
      socket.destroy();
    });
    socket.once("close", () => resolve("closed"));
  });
}

// Guards against a stop that closes the connection of an operator whose command
// still runs.
test("a planned stop of an entry host waits for an operator's command", async () => {
  await withSystem({}, async (system) => {
    const { cluster } = system;
    cluster.child("van-2").signal("SIGTERM");
    await sleep(STOP_START_MILLISECONDS);
    // A command is answered once this host has it, or has lost its lease.
    cluster.child("kel-1").signal("SIGSTOP");
    const { status, body } = await sendRequest(
      `${system.entryUrl("van-2")}/v1/operator/contracts/desk`,
      { method: "PUT", body: JSON.stringify(CONTRACT_CHANGE) },
    );
    cluster.child("kel-1").signal("SIGCONT");
    assert.equal(status, 200, body);
    assert.equal(await cluster.child("van-2").exited, 0);
  });
});

// Guards against a connection that is closed as idle, though a request has come
// on it while the entry host stood still.
test("a request that arrives on an idle connection of a frozen entry host is answered", async () => {
  await withSystem({}, async (system) => {
    const [host, port] = system.entryUrl("van-2").slice(7).split(":");
    const sockets = Array.from({ length: CALLS }, () => {
      const socket = connect({ host: host!, port: Number(port) });
      socket.on("error", () => undefined);
      return socket;
    });
    const sendAll = () => Promise.all(sockets.map(askWhetherLive));
    assert.deepEqual(new Set(await sendAll()), new Set(["HTTP/1.1 200 OK"]));
    await sleep(ANNOUNCED_IDLE_MILLISECONDS - 500);
    system.cluster.child("van-2").signal("SIGSTOP");
    await sleep(200);
    const second = sendAll();
    await sleep(SILENCE_MILLISECONDS - 200);
    system.cluster.child("van-2").signal("SIGCONT");
    assert.deepEqual(new Set(await second), new Set(["HTTP/1.1 200 OK"]));
    for (const socket of sockets) socket.destroy();
  });
});

// Guards against a request that is reset at a planned stop, as it came on an open
// connection while the entry host stood still, and was not read yet when its wait
// for such requests was over.
test("a request that arrives at a stopping entry host that stands still is answered", async () => {
  await withSystem({}, async (system) => {
    const [host, port] = system.entryUrl("van-2").slice(7).split(":");
    const address = { host: host!, port: Number(port) };
    const sockets = Array.from({ length: 10 * CALLS }, () => connect(address));
    for (const socket of sockets) socket.on("error", () => undefined);
    await Promise.all(sockets.map(askWhetherLive));
    const child = system.cluster.child("van-2");
    child.signal("SIGTERM");
    const isClosed = () => {
      // The wait begins anew with each request.
      if (sockets.length > 2 * CALLS) sockets.pop()!.write(LIVE_REQUEST);
      return isRefused(address);
    };
    assert.ok(await waitUntil(isClosed, TIMEOUT_MILLISECONDS));
    // It stops at work: a process that waits for its sockets reads them first.
    const answers = sockets.splice(CALLS).map(askWhetherLive);
    child.signal("SIGSTOP");
    answers.push(...sockets.map(askWhetherLive));
    await sleep(2 * QUIET_MILLISECONDS);
    child.signal("SIGCONT");
    assert.deepEqual(
      new Set(await Promise.all(answers)),
      new Set(["HTTP/1.1 200 OK"]),
    );
    assert.equal(await child.exited, 0);
  });
});

function isRefused(address: { host: string; port: number }): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(address);
    socket.once("connect", () => {
      socket.destroy();
      resolve(false);
    });
    socket.once("error", () => resolve(true));
  });
}

/** Returns the first line of the answer. */
function askWhetherLive(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once("data", (bytes) => resolve(String(bytes).slice(0, 15)));
    socket.once("close", () => resolve("closed"));
    socket.write(LIVE_REQUEST);
  });
}
