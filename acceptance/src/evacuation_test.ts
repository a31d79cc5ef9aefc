import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { after, before, test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";
import { watchFailures } from "./watch_failures.ts";

/** Within which an evacuation must be obeyed after its acknowledgement. */
const EVACUATION_BOUND_MILLISECONDS = 5_000;
const ACKNOWLEDGEMENT_MILLISECONDS = 1_000;
/** For an order while a leader is replaced. */
const ORDER_TIMEOUT_MILLISECONDS = 5_000;
const RETRY_MILLISECONDS = 50;
const REQUESTS = 12;
/** The gateways' own data centre, which they prefer. */
const ZONE = "here";
const OTHER_ZONE = "there";

const system = new EndToEndSystem({
  engines: 1,
  plainServers: 2,
  gateways: 2,
  controlHosts: 3,
});
/** The server in the data centre that is evacuated, and the other one. */
const [evacuated, remaining] = system.plainServers;
let requests = 0;

before(async () => {
  remaining!.zone = OTHER_ZONE;
  await system.start();
});
const hasFailed = watchFailures();
after(() => system.stop({ keepLogs: hasFailed() }));

type Method = "POST" | "DELETE";

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Status of one order at one control host, 0 without an answer in time. */
async function order(
  base: string,
  method: Method,
  zone = ZONE,
): Promise<number> {
  try {
    const answer = await fetch(`${base}/evacuations/${zone}`, {
      method,
      signal: AbortSignal.timeout(ACKNOWLEDGEMENT_MILLISECONDS),
    });
    return answer.status;
  } catch {
    return 0;
  }
}

/** Sends the order to one control host after another until it is accepted. */
async function orderUntilAccepted(
  method: Method,
  bases = system.cluster.controlUrls,
): Promise<void> {
  const until = performance.now() + ORDER_TIMEOUT_MILLISECONDS;
  for (let call = 0; performance.now() < until; call += 1) {
    const status = await order(bases[call % bases.length]!, method);
    if (status === 200) return;
    assert.ok(status === 0 || status === 503, `refused with ${status}`);
    await sleep(RETRY_MILLISECONDS);
  }
  assert.fail(`${method} was never accepted`);
}

/** Sends requests to each gateway; how many ran in the evacuated data centre. */
async function countRunsThere(
  gatewayIps = system.gatewayIps,
): Promise<number> {
  const ranBefore = evacuated!.ranRequestIds.length;
  for (const gateway of gatewayIps) {
    for (let index = 0; index < REQUESTS; index += 1) {
      requests += 1;
      const id = `r${requests}`;
      const answer = await system.sendRequest("/look/", { id, gateway });
      assert.equal(answer.status, 200);
    }
  }
  return evacuated!.ranRequestIds.length - ranBefore;
}

function isObeyed(gatewayIps = system.gatewayIps): Promise<boolean> {
  return waitUntil(
    async () => await countRunsThere(gatewayIps) === 0,
    EVACUATION_BOUND_MILLISECONDS,
  );
}

function isTakenBack(): Promise<boolean> {
  return waitUntil(
    async () => {
      for (const ip of system.gatewayIps) {
        if (await countRunsThere([ip]) === 0) return false;
      }
      return true;
    },
    EVACUATION_BOUND_MILLISECONDS,
  );
}

/** Control host that began to lead last, as all logs have it. */
function findLeader(): string {
  const terms = system.controlNames.map((name) => {
    const { output } = system.cluster.findHost(name).child;
    const led = [...output.matchAll(/event=leading term=(\d+)/g)];
    return { name, term: Math.max(0, ...led.map(([, term]) => Number(term))) };
  });
  return terms.sort((left, right) => right.term - left.term)[0]!.name;
}

function urlsExcept(name: string): string[] {
  const index = system.controlNames.indexOf(name);
  return system.cluster.controlUrls.filter((_, other) => other !== index);
}

test("an evacuation is acknowledged, obeyed everywhere, and taken back", async () => {
  const before = await countRunsThere();
  assert.ok(before > 0, "no request ran there without an evacuation");
  for (const base of system.cluster.controlUrls) {
    assert.equal(await order(base, "POST"), 200);
  }
  assert.ok(await isObeyed());
  assert.equal(await countRunsThere(), 0);
  for (const base of system.cluster.controlUrls) {
    assert.equal(await order(base, "DELETE"), 200);
  }
  assert.ok(await isTakenBack());
});

test("malformed and unknown orders get a clear refusal", async () => {
  const [base] = system.cluster.controlUrls;
  assert.equal(await order(base!, "POST", "nowhere"), 404);
  assert.equal(await order(base!, "POST", ""), 400);
  assert.equal(await order(base!, "POST", "a%2Fb"), 400);
  assert.equal(await order(base!, "POST", "%zz"), 400);
  const { status } = await system.callControlHost("GET", "/evacuations/there");
  assert.equal(status, 405);
});

// Guards against an evacuation that is lost with all processes' memory, and
// against gateways that send their first requests before they know it.
test("an evacuation outlasts the loss of all power", async () => {
  await orderUntilAccepted("POST");
  await system.cluster.restart([
    ...system.controlNames,
    ...system.gatewayNames,
  ]);
  const ranBefore = evacuated!.ranRequestIds.length;
  const held = system.gatewayIps.flatMap((gateway) =>
    Array.from({ length: REQUESTS }, async (_, index) => {
      const id = `held-${gateway}-${index}`;
      const send = () => system.sendRequest("/look/", { id, gateway });
      // The port opens some time after the process has started.
      const isServed = () => send().then(({ status }) => status === 200);
      return await waitUntil(
        () => isServed().catch(() => false),
        EVACUATION_BOUND_MILLISECONDS * 2,
      );
    })
  );
  assert.ok((await Promise.all(held)).every((isServed) => isServed));
  assert.equal(evacuated!.ranRequestIds.length, ranBefore);
  assert.equal(await countRunsThere(), 0);
  await orderUntilAccepted("DELETE");
  assert.ok(await isTakenBack());
});

// Guards against an evacuation that is lost with one disk: the leader loses its
// own right after the acknowledgement, and all power goes.
test("an evacuation outlasts the loss of the leader's disk", async () => {
  await orderUntilAccepted("POST");
  const leader = findLeader();
  const { child } = system.cluster.findHost(leader);
  child.signal("SIGKILL");
  await child.exited;
  rmSync(join(system.cluster.folder, leader), { recursive: true });
  await system.restartAll();
  assert.equal(await countRunsThere(), 0);
  await orderUntilAccepted("DELETE");
  assert.ok(await isTakenBack());
});

// Guards against a gateway that routes before it knows what is evacuated.
test("a gateway that has just started sends nothing there", async () => {
  await orderUntilAccepted("POST");
  assert.ok(await isObeyed());
  for (let round = 0; round < 3; round += 1) {
    await system.cluster.restart(system.gatewayNames);
    const ready = system.gatewayIps.map((ip) =>
      waitUntil(() => system.isReady(ip), EVACUATION_BOUND_MILLISECONDS)
    );
    assert.ok((await Promise.all(ready)).every((isReady) => isReady));
    assert.equal(await countRunsThere(), 0);
  }
  await orderUntilAccepted("DELETE");
  assert.ok(await isTakenBack());
});

// Guards against an order that gets no answer or is lost, or that comes back
// from the log or the socket of the frozen leader after it was taken back.
test("orders hold while the leader is frozen, and after it wakes", async () => {
  const leader = findLeader();
  const { child } = system.cluster.findHost(leader);
  const frozenUrl = system.cluster.controlUrls[
    system.controlNames.indexOf(leader)
  ]!;
  child.signal("SIGSTOP");
  try {
    assert.equal(await order(frozenUrl, "POST"), 0);
    await orderUntilAccepted("POST", urlsExcept(leader));
    assert.ok(await isObeyed());
    await orderUntilAccepted("DELETE", urlsExcept(leader));
    assert.ok(await isTakenBack());
  } finally {
    child.signal("SIGCONT");
  }
  await sleep(2 * ACKNOWLEDGEMENT_MILLISECONDS);
  assert.ok(await isTakenBack(), "the frozen host's order came back");
});

// Guards against orders that are refused, or lost, with the leader that had
// them.
test("an order is accepted while its leader is killed, and holds", async () => {
  const leader = findLeader();
  const { child } = system.cluster.findHost(leader);
  const ordered = orderUntilAccepted("POST");
  child.signal("SIGKILL");
  await ordered;
  await system.cluster.restart([leader]);
  assert.ok(await isObeyed());
  await orderUntilAccepted("DELETE");
  assert.ok(await isTakenBack());
});

// Guards against an evacuation that goes on at a gateway that did not hear of
// its end, and against one that a gateway never hears of.
test("a gateway that was frozen obeys as soon as it is heard again", async () => {
  const [first, second] = system.gatewayNames;
  const { child } = system.cluster.findHost(second!);
  await orderUntilAccepted("POST");
  assert.ok(await isObeyed());
  child.signal("SIGSTOP");
  await sleep(2 * ACKNOWLEDGEMENT_MILLISECONDS);
  await orderUntilAccepted("DELETE");
  child.signal("SIGCONT");
  assert.ok(await isTakenBack(), "the end was not heard");
  child.signal("SIGSTOP");
  await sleep(2 * ACKNOWLEDGEMENT_MILLISECONDS);
  await orderUntilAccepted("POST");
  assert.ok(await isObeyed([system.gatewayIps[0]!]), first);
  child.signal("SIGCONT");
  assert.ok(await isObeyed(), "the evacuation was not heard");
  await orderUntilAccepted("DELETE");
  assert.ok(await isTakenBack());
});

// Guards against hosts that disagree after two operators ordered opposite
// things at the same time at different control hosts.
test("crossing orders of two operators leave all gateways with the same", async () => {
  const [one, two, three] = system.cluster.controlUrls;
  const repeat = async (method: Method, bases: string[]) => {
    for (let round = 0; round < 5; round += 1) {
      await orderUntilAccepted(method, bases);
    }
  };
  await Promise.all([
    repeat("POST", [one!, two!]),
    repeat("DELETE", [three!, two!]),
  ]);
  await sleep(ACKNOWLEDGEMENT_MILLISECONDS);
  const runs = await Promise.all(
    system.gatewayIps.map((ip) => countRunsThere([ip])),
  );
  assert.equal(new Set(runs.map((count) => count > 0)).size, 1, `${runs}`);
  await orderUntilAccepted("POST", [three!]);
  assert.ok(await isObeyed());
  await orderUntilAccepted("DELETE", [one!]);
  assert.ok(await isTakenBack());
});

// Guards against callers that are kept waiting for servers that nothing may be
// sent to.
test("with all its data centres evacuated a request is refused at once", async () => {
  await orderUntilAccepted("POST");
  assert.equal(
    await order(system.cluster.controlUrls[0]!, "POST", OTHER_ZONE),
    200,
  );
  const send = () => {
    requests += 1;
    return system.sendRequest("/look/", { id: `none${requests}` });
  };
  const isRefused = await waitUntil(
    async () => (await send()).status === 503,
    EVACUATION_BOUND_MILLISECONDS,
  );
  assert.ok(isRefused);
  const sentAt = performance.now();
  const answer = await send();
  assert.equal(answer.status, 503);
  assert.ok(performance.now() - sentAt < 200);
  assert.ok(Number(answer.headers.get("retry-after")) >= 0);
  const { child } = system.cluster.findHost(system.gatewayNames[0]!);
  const isLogged = await waitUntil(
    () => /reason="?the data centres of its backend ser/.test(child.output),
    EVACUATION_BOUND_MILLISECONDS,
  );
  assert.ok(isLogged);
  assert.equal(remaining!.isDown, false);
  await order(system.cluster.controlUrls[0]!, "DELETE", OTHER_ZONE);
  await orderUntilAccepted("DELETE");
  assert.ok(await isTakenBack());
});
