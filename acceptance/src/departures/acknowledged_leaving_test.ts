import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { after, before, test } from "node:test";
import { EndToEndSystem } from "../end_to_end_system.ts";
import type { FakeBackendServer } from "../fake_backend_server.ts";
import { callControlHost } from "./call_control_host.ts";
import { watchFailures } from "../watch_failures.ts";

/** After an acknowledgement no request may reach the server. */
const DRAIN_MILLISECONDS = 2_000;
const WATCH_MILLISECONDS = 1_500;
const REQUEST_INTERVAL_MILLISECONDS = 20;
const ACKNOWLEDGEMENT_MILLISECONDS = 10_000;
const RETRY_MILLISECONDS = 100;

const system = new EndToEndSystem({
  engines: 1,
  plainServers: 8,
  gateways: 3,
  controlHosts: 3,
});
const { cluster, plainServers } = system;
let requests = 0;

before(async () => {
  await system.start();
  await waitUntil(isEachServerUsed, ACKNOWLEDGEMENT_MILLISECONDS);
});
const hasFailed = watchFailures();
after(() => system.stop({ keepLogs: hasFailed() }));

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function isEachServerUsed(): Promise<boolean> {
  await sendRequests(200);
  return plainServers.every(({ ranRequestIds }) => ranRequestIds.length > 0);
}

async function sendRequests(milliseconds: number): Promise<void> {
  const endAt = performance.now() + milliseconds;
  const answers: Promise<unknown>[] = [];
  while (performance.now() < endAt) {
    for (const gateway of system.gatewayIps) {
      requests += 1;
      const options = { id: `late-${requests}`, gateway, method: "POST" };
      answers.push(
        system.sendRequest("/pay/x", options).catch(() => undefined),
      );
    }
    await sleep(REQUEST_INTERVAL_MILLISECONDS);
  }
  await Promise.all(answers);
}

/** Requests that the server runs from the end of the bound on. */
async function countLateRuns(server: FakeBackendServer): Promise<number> {
  await sleep(DRAIN_MILLISECONDS);
  const before = server.ranRequestIds.length;
  await sendRequests(WATCH_MILLISECONDS);
  return server.ranRequestIds.length - before;
}

function leave(
  base: string,
  { instance }: FakeBackendServer,
  onStatus?: (status: number) => void,
): Promise<number> {
  const url = `${base}/instances/${instance}`;
  return callControlHost(url, "DELETE", undefined, onStatus);
}

/** A server says that it drains, in one heartbeat. */
function drain(
  base: string,
  server: FakeBackendServer,
  onStatus?: (status: number) => void,
): Promise<number> {
  const url = `${base}/instances/${server.instance}`;
  const heartbeat = server.heartbeat("plain", "draining");
  return callControlHost(url, "PUT", heartbeat, onStatus);
}

/** As a backend server does: one control host after the other. */
async function leaveUntilAccepted(server: FakeBackendServer): Promise<void> {
  const endAt = performance.now() + ACKNOWLEDGEMENT_MILLISECONDS;
  for (let call = 0; performance.now() < endAt; call += 1) {
    const base = cluster.controlUrls[call % cluster.controlUrls.length]!;
    if (await leave(base, server) === 200) return;
    await sleep(RETRY_MILLISECONDS);
  }
  assert.fail("never accepted");
}

// Guards against an acknowledgement that only its own process knows of: the
// others can't hear it before that process is lost.
test("no leaving is acknowledged while no other control host can keep it", async () => {
  const [server, draining] = [plainServers[0]!, plainServers[5]!];
  system.stopHeartbeats(server);
  system.stopHeartbeats(draining);
  const others = ["control-1", "control-2"];
  for (const name of others) cluster.findHost(name).child.signal("SIGSTOP");
  const startedAt = performance.now();
  const statuses = await Promise.all([
    leave(cluster.controlUrls[0]!, server),
    drain(cluster.controlUrls[0]!, draining),
  ]);
  const milliseconds = performance.now() - startedAt;
  for (const name of others) cluster.findHost(name).child.signal("SIGCONT");
  assert.deepEqual(statuses, [503, 503]);
  assert.ok(milliseconds < 1_000, `answered after ${milliseconds} ms`);
  await leaveUntilAccepted(server);
  assert.equal(await countLateRuns(server), 0);
});

// Guards against a leaving that is lost with the control host that acknowledged
// it: gateways would send to the server until it has been silent for 6 s.
test("a leaving outlives the control host that acknowledged it", async () => {
  for (const [index, server] of plainServers.slice(1, 3).entries()) {
    system.stopHeartbeats(server);
    const host = cluster.findHost(`control-${index}`).child;
    const status = await leave(
      cluster.controlUrls[index]!,
      server,
      () => host.signal("SIGKILL"),
    );
    assert.equal(status, 200);
    assert.equal(await countLateRuns(server), 0);
    await cluster.restart([`control-${index}`]);
    await leaveUntilAccepted(server);
  }
});

// Guards against the same where the server says first that it drains, and its
// next heartbeat would come too late: the bound counts from the first answer.
test("a drain outlives the control host that acknowledged it", async () => {
  const server = plainServers[6]!;
  system.stopHeartbeats(server);
  const host = cluster.findHost("control-0").child;
  const status = await drain(
    cluster.controlUrls[0]!,
    server,
    () => host.signal("SIGKILL"),
  );
  assert.equal(status, 200);
  assert.equal(await countLateRuns(server), 0);
  await cluster.restart(["control-0"]);
});

// Guards against a heartbeat that was delayed until all control hosts have
// restarted, and remember nothing but what their disks hold.
test("a leaving outlives all processes, and a heartbeat from before it", async () => {
  const server = plainServers[3]!;
  system.stopHeartbeats(server);
  const delayed = server.heartbeat("plain", "ready");
  await leaveUntilAccepted(server);
  await system.restartAll();
  const url = `${cluster.controlUrls[1]!}/instances/${server.instance}`;
  await waitUntil(
    async () => await callControlHost(url, "PUT", delayed) === 200,
    ACKNOWLEDGEMENT_MILLISECONDS,
  );
  assert.equal(await countLateRuns(server), 0);
});

// Guards against a control host that acknowledges the leaving of a server that
// it hasn't heard of yet, and then takes up from others that it is ready.
test("a leaving at control hosts that know no servers is kept", async () => {
  const server = plainServers[4]!;
  system.stopHeartbeats(server);
  await cluster.restart(system.controlNames);
  await leaveUntilAccepted(server);
  assert.equal(await countLateRuns(server), 0);
});
