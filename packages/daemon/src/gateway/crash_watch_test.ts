import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { Subject } from "rxjs";
import { EventLog } from "../log/event_log.ts";
import { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { CrashWatch } from "./crash_watch.ts";

const ADDRESS = "127.0.0.1";
/** Longer than interrupted requests are gathered and a check takes. */
const CHECK_MILLISECONDS = 250;

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
    socket.destroy();
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

// Guards against an end that is evidence for nobody because the next process
// accepts connections before the port is asked.
test("the end of a backend server that is back at once is told by its next start", async (context) => {
  const server = createServer((socket) => socket.destroy());
  context.after(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const announcement = {
    instance: "one",
    address: `${ADDRESS}:${port}`,
    state: "ready",
    bornAt: 1,
  } as BackendAnnouncement;
  const backends$ = new Subject<BackendAnnouncement[]>();
  const watch = new CrashWatch({
    hasOpenConnection: () => false,
    isClosed: () => false,
    hasDeparted: () => false,
    listStarts: () => [],
    backends$,
    engineStarts$: new Subject(),
    log: new EventLog("gateway", "error"),
    metrics: new ProcessMetrics(),
  });
  const ended: string[] = [];
  watch.ended$.subscribe((end) => ended.push(end.announcement.instance));
  watch.recordBrokenRequest({
    call: CALL,
    announcement,
    begunAt: 0,
    sentAt: 0,
  });
  await new Promise((resolve) => setTimeout(resolve, CHECK_MILLISECONDS));
  assert.deepEqual(ended, []);
  backends$.next([{ ...announcement, instance: "two", bornAt: 2 }]);
  assert.deepEqual(ended, ["one"]);
});
