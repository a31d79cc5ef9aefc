import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { BackendIncarnations } from "./backend_incarnations.ts";
import type { BackendServer } from "./backend_server.ts";

const HOST = "127.0.0.1";

/** A backend server whose port accepts connections all the while. */
async function open(context: TestContext) {
  const server = createServer((socket) => socket.destroy());
  context.after(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const startedAt = (started_at: number): BackendServer => ({
    service: "drafter",
    address: `${HOST}:${port}`,
    checks_fencing: true,
    repeatable: true,
    uses_weights: false,
    slots: 4,
    started_at,
  });
  const incarnations = new BackendIncarnations("a");
  const late: string[] = [];
  incarnations.lateEnds$.subscribe(({ incarnation, requestIds }) =>
    late.push(`${incarnation} ${requestIds.join("+")}`)
  );
  let current = startedAt(1);
  const sentAt = monotonicMilliseconds();
  /** Fails a call that was sent to the first start. */
  const fail = (requestId: string, isEndExpected = false) =>
    incarnations.findEndedIncarnation({
      requestId,
      sentAt,
      backend: startedAt(1),
      current: () => current,
      isEndExpected,
    });
  const restart = () => {
    current = startedAt(2);
    incarnations.recordStart(current);
  };
  return { incarnations, startedAt, fail, restart, late };
}

// Guards against a call that ends process after process as each is back before
// its port is asked.
test("an end that the port doesn't show is told once the next start is heard", async (context) => {
  const { fail, restart, late } = await open(context);
  assert.deepEqual(await Promise.all([fail("one"), fail("two")]), ["", ""]);
  assert.deepEqual(late, []);
  restart();
  assert.deepEqual(late, ["a@1 one+two"]);
  assert.equal(await fail("three"), "a@1", "the start is known already");
});

test("a backend server that answers, and doesn't start anew, hasn't ended", async (context) => {
  const { incarnations, startedAt, fail, late } = await open(context);
  const sentAt = monotonicMilliseconds() - 5;
  assert.equal(await fail("one"), "");
  await sleep(200);
  incarnations.recordAnswer({ sentAt, backend: startedAt(1) });
  incarnations.recordStart(startedAt(2));
  assert.deepEqual(late, []);
});

test("the end of a backend server that shuts down is told of no call", async (context) => {
  const { fail, restart, late } = await open(context);
  assert.equal(await fail("one", true), "");
  restart();
  assert.deepEqual(late, []);
});
