import type { ServerStart } from "@teaselrouter/core/crashes/server_start.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Subject } from "rxjs";
import { EventLog } from "../log/event_log.ts";
import { ProcessMetrics } from "../metrics/process_metrics.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { CrashWatch } from "./crash_watch.ts";

const ADDRESS = "127.0.0.1";
/** Longer than interrupted requests are gathered and two checks take. */
const CHECK_MILLISECONDS = 500;

const CALL = {
  id: "a1",
  path: "/x",
  workspace: "w",
  body: undefined,
  metadata: { sharedParts: [] as readonly string[] },
} as AdmittedCall;

// Guards against contact with a backend server that has asked for none, and
// against an end there that is never found out.
test("the end of a pausing backend server is told by its next start only", async () => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on("error", () => undefined);
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const announcement = {
    instance: "one",
    address: `${ADDRESS}:${port}`,
    state: "ready",
    bornAt: 1,
  } as BackendAnnouncement;
  const backends$ = new Subject<BackendAnnouncement[]>();
  let isClosed = true;
  const watch = new CrashWatch({
    hasOpenConnection: () => false,
    isClosed: () => isClosed,
    hasDeparted: () => false,
    listStarts: () => [],
    backends$,
    engineStarts$: new Subject(),
    log: new EventLog("gateway", "error"),
    metrics: new ProcessMetrics(),
  });
  const ended: string[] = [];
  watch.ended$.subscribe((end) => ended.push(end.announcement.instance));
  const recordBreak = async () => {
    watch.recordBrokenRequest({
      call: CALL,
      announcement,
      begunAt: 0,
      sentAt: 0,
    });
    await new Promise((resolve) => setTimeout(resolve, CHECK_MILLISECONDS));
  };
  await recordBreak();
  assert.equal(connections, 0);
  assert.deepEqual(ended, []);
  backends$.next([{ ...announcement, instance: "two", bornAt: 2 }]);
  assert.deepEqual(ended, ["one"]);
  isClosed = false;
  await recordBreak();
  assert.equal(connections, 1);
  server.close();
});

/** A watch of a backend server whose port accepts all the while. */
async function openWatch(
  context: TestContext,
  onConnection = (_socket: Socket) => {},
) {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    onConnection(socket);
  });
  context.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const announcement = {
    instance: "one",
    address: `${ADDRESS}:${port}`,
    state: "ready",
    bornAt: 1,
  } as BackendAnnouncement;
  const next = { ...announcement, instance: "two", bornAt: 2 };
  const backends$ = new Subject<BackendAnnouncement[]>();
  const engineStarts$ = new Subject<ServerStart>();
  const known = {
    departed: new Set<string>(),
    starts: [] as ServerStart[],
  };
  const watch = new CrashWatch({
    hasOpenConnection: () => false,
    isClosed: () => false,
    hasDeparted: ({ instance }) => known.departed.has(instance),
    listStarts: () => known.starts,
    backends$,
    engineStarts$,
    log: new EventLog("gateway", "error"),
    metrics: new ProcessMetrics(),
  });
  const ended: string[] = [];
  watch.ended$.subscribe((end) => ended.push(end.announcement.instance));
  const recordBreak = async () => {
    const begunAt = monotonicMilliseconds();
    watch.recordBrokenRequest({
      call: CALL,
      announcement,
      begunAt,
      sentAt: begunAt,
    });
    await new Promise((resolve) => setTimeout(resolve, CHECK_MILLISECONDS));
  };
  return {
    watch,
    announcement,
    next,
    backends$,
    engineStarts$,
    known,
    ended,
    recordBreak,
  };
}

// Guards against an end that is evidence for nobody because the next process
// accepts connections before the port is asked.
test("the end of a backend server that is back at once is told by its next start", async (context) => {
  const { next, backends$, ended, recordBreak } = await openWatch(context);
  await recordBreak();
  assert.deepEqual(ended, []);
  backends$.next([next]);
  assert.deepEqual(ended, ["one"]);
});

test("a stager's word of a start, or another instance's answer, tells it too", async (context) => {
  const first = await openWatch(context);
  await first.recordBreak();
  const { address } = first.announcement;
  first.engineStarts$.next({ address, instance: undefined, bornAt: 2 });
  assert.deepEqual(first.ended, ["one"]);
  const second = await openWatch(context);
  await second.recordBreak();
  second.watch.recordMisdirection(second.announcement);
  assert.deepEqual(second.ended, ["one"]);
});

// Guards against a proof that comes only with the next start, seconds later.
test("a port that closes each connection tells the end by itself", async (context) => {
  const { ended, recordBreak } = await openWatch(
    context,
    (socket) => void socket.destroy(),
  );
  await recordBreak();
  assert.deepEqual(ended, ["one"]);
});

// Guards against an end that is noticed only after the news of the next start.
test("a start that is known by the time of the check tells it", async (context) => {
  const { next, known, ended, recordBreak } = await openWatch(context);
  known.starts = [next];
  await recordBreak();
  assert.deepEqual(ended, ["one"]);
});

// Guards against blaming requests that a planned stop or a release broke off.
test("a backend server that has said that it leaves is no evidence", async (context) => {
  const before = await openWatch(context);
  before.known.departed.add("one");
  await before.recordBreak();
  before.backends$.next([before.next]);
  assert.deepEqual(before.ended, []);
  const behind = await openWatch(context);
  await behind.recordBreak();
  behind.known.departed.add("one");
  behind.backends$.next([behind.next]);
  assert.deepEqual(behind.ended, []);
});

// Guards against blaming requests of which the connection alone was reset.
test("a backend server that goes on with its answers hasn't ended", async (context) => {
  const { watch, announcement, next, backends$, ended, recordBreak } =
    await openWatch(context);
  const sentAt = monotonicMilliseconds() - 1;
  await recordBreak();
  watch.recordAnswer(announcement, sentAt);
  backends$.next([next]);
  assert.deepEqual(ended, []);
});
