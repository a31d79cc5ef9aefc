import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { BackendAgent } from "./backend_agent.ts";
import { BackendAttempt } from "./backend_attempt.ts";

const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/** Attempts at a server that answers when it is told to. */
async function openServer(maxSockets: number) {
  const asked: Socket[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => asked.push(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new BackendAgent(maxSockets);
  const attempt = (headers: string[] = []) =>
    new BackendAttempt({
      address: `127.0.0.1:${port}`,
      agent,
      method: "GET",
      path: "/",
      buildHead: () => ({ headers, deadlineMilliseconds: 1_000 }),
      body: undefined,
      id: "a1",
      format: {
        readAnswer: () => ({ id: undefined, isNotRun: false }),
      } as never,
      onMetadata: () => undefined,
      onMisdirected: () => undefined,
    });
  const waitForAsked = async (count: number) => {
    while (asked.length < count) {
      await new Promise((done) => setTimeout(done, 5));
    }
  };
  const close = () => {
    agent.destroy();
    server.close();
  };
  return { asked, attempt, waitForAsked, close };
}

/** Neither may be sent: a header has a line end. */
const BROKEN_HEADERS = ["Broken", "a\r\nb"];

// Guards against a fault of one request that ends the process, or that takes a
// connection's place from all later ones.
test("a request that can't be sent keeps no place, at once or behind a wait", async () => {
  const { asked, attempt, waitForAsked, close } = await openServer(1);
  try {
    assert.throws(() => attempt(BROKEN_HEADERS));
    const first = attempt();
    await waitForAsked(1);
    const broken = attempt(BROKEN_HEADERS);
    const last = attempt();
    assert.equal(asked.length, 1, "the others wait");
    asked[0]!.write(ANSWER);
    const answer = await first.outcome;
    assert.ok(answer.kind === "answer");
    answer.message.resume();
    assert.equal((await broken.outcome).kind, "not-run");
    await waitForAsked(2);
    asked[1]!.write(ANSWER);
    assert.equal((await last.outcome).kind, "answer");
  } finally {
    close();
  }
});

// Guards against attempts that are given up while they wait, and are sent later.
test("a request that is given up while it waits isn't sent", async () => {
  const { asked, attempt, waitForAsked, close } = await openServer(1);
  try {
    const first = attempt();
    await waitForAsked(1);
    const [aborted, withdrawn, last] = [attempt(), attempt(), attempt()];
    aborted.abort("its client has left");
    withdrawn.withdraw("its server pauses");
    assert.equal((await aborted.outcome).kind, "not-run");
    assert.equal((await withdrawn.outcome).kind, "not-run");
    first.abort("its client has left");
    await waitForAsked(2);
    asked[1]!.write(ANSWER);
    assert.equal((await last.outcome).kind, "answer");
    assert.equal(asked.length, 2);
  } finally {
    close();
  }
});
