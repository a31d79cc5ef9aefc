// A backend server says that it leaves, and the control host that acknowledged
// this loses power at once: the others never learn of it.

import {
  BROKEN,
  call,
  callAny,
  hasTrouble,
  HELD,
  loadStandIn,
  now,
  Recorder,
  runCase,
  sendRequest,
  sleep,
  waitUntil,
} from "../helpers-2.mjs";

/** One server after the other leaves; the last one stays. */
const ROUNDS = 3;
const SERVERS = ROUNDS + 1;
const GATEWAYS = 4;
const HEARTBEAT_MILLISECONDS = 1_200;
const CONTACT_MILLISECONDS = 3_000;
const DRAIN_MILLISECONDS = 2_000;
const DOWN_MILLISECONDS = 5_000;
/** From the acknowledgement until the server that leaves has ended. */
const LINGER_MILLISECONDS = 5_500;
const REQUEST_INTERVAL_MILLISECONDS = 25;

const { LoopbackCluster } = await loadStandIn("loopback_cluster");
const { FakeBackendServer } = await loadStandIn("fake_backend_server");
const { buildConfiguration } = await loadStandIn("build_configuration");

const recorder = new Recorder(import.meta.url);
const cluster = new LoopbackCluster();
const servers = Array.from(
  { length: SERVERS },
  (_, index) =>
    new FakeBackendServer({
      instance: `plain-${index}`,
      store: { chunks: 0 },
      model: "",
    }),
);
const gone = new Set();
const results = [];
let count = 0;
const timers = [];

/**
 * The servers that will leave call control host 0, and the last one host 1 or 2,
 * as long as these answer.
 */
function sendHeartbeats() {
  for (const [index, server] of servers.entries()) {
    if (gone.has(server)) continue;
    const [first, ...others] = cluster.controlUrls;
    callAny(
      index < ROUNDS ? [first, ...others] : others,
      "PUT",
      `/instances/${server.instance}`,
      server.heartbeat("plain", "ready"),
    );
  }
}

async function startSystem() {
  await cluster.allocateAddresses(3);
  for (let index = 0; index < 3; index += 1) cluster.start("control", index);
  const gateways = Array.from(
    { length: GATEWAYS },
    (_, index) => cluster.start("gateway", 10 + index),
  );
  for (const server of servers) await server.listen("127.0.0.1");
  sendHeartbeats();
  timers.push(setInterval(sendHeartbeats, HEARTBEAT_MILLISECONDS));
  const configuration = buildConfiguration({
    version: 1,
    store: "127.0.0.1:9",
    model: "model-1",
    chunks: 0,
  });
  await waitUntil(
    async () =>
      (await callAny(cluster.controlUrls, "PUT", "/config", configuration))
        .status === 200,
    "configured",
  );
  for (const gateway of gateways) {
    await waitUntil(
      async () => (await pay(gateway, "warm")).status === 200,
      "serving",
    );
  }
  return gateways;
}

function pay(gateway, id) {
  return sendRequest(cluster.frontendUrl(gateway.ip), "/pay/seat", {
    id,
    body: "one seat",
  });
}

/** The server says that it leaves, and is acknowledged. */
async function leave({ instance }) {
  const { child } = cluster.findHost("control-0");
  let acknowledgedAt;
  let killedAt;
  const { status } = await call(
    cluster.controlUrls[0],
    "DELETE",
    `/instances/${instance}`,
    undefined,
    () => {
      acknowledgedAt = now();
      if (hasTrouble) child.signal("SIGKILL");
      killedAt = now();
    },
  );
  if (status !== 200) throw new Error(`leaving is answered with ${status}`);
  recorder.add(`control-0 acknowledges that ${instance} leaves`, acknowledgedAt);
  if (hasTrouble) {
    recorder.tell(
      `control-0 loses power ${(killedAt - acknowledgedAt).toFixed(2)} ms ` +
        "after its acknowledgement",
    );
  }
  return { acknowledgedAt, killedAt };
}

/** One server leaves; returns the requests that it got too late. */
async function playRound(leaving, gateways) {
  // Every machine is in touch.
  await sleep(CONTACT_MILLISECONDS + 1_000);
  gone.add(leaving);
  const { acknowledgedAt, killedAt } = await leave(leaving);
  const traffic = setInterval(() => {
    count += 1;
    const gateway = gateways[count % gateways.length];
    results.push(pay(gateway, `r-${count}`));
  }, REQUEST_INTERVAL_MILLISECONDS);
  timers.push(traffic);
  await sleep(killedAt + DOWN_MILLISECONDS - now());
  const returnsAt = now();
  if (hasTrouble) {
    recorder.tell("control-0 starts again");
    await cluster.restart(["control-0"]);
  }
  await sleep(acknowledgedAt + LINGER_MILLISECONDS - now());
  clearInterval(traffic);
  leaving.close();
  recorder.tell(`${leaving.instance} ends`);
  // From the end of the time that the kill excuses until the next start.
  const from = Math.max(
    acknowledgedAt + DRAIN_MILLISECONDS,
    killedAt + CONTACT_MILLISECONDS,
  );
  const late = leaving.arrivals.filter(({ at }) => at > from && at < returnsAt);
  recorder.tell(
    `${leaving.instance} got ${late.length} requests between ` +
      `${Math.round(from - acknowledgedAt)} and ` +
      `${Math.round(returnsAt - acknowledgedAt)} ms after its leaving was ` +
      "acknowledged",
  );
  return late.length;
}

async function play() {
  const gateways = await startSystem();
  let late = 0;
  for (const leaving of servers.slice(0, ROUNDS)) {
    late += await playRound(leaving, gateways);
  }
  for (const { id, sentAt, status } of await Promise.all(results)) {
    recorder.add(`${id} sent; answered with ${status}`, sentAt);
  }
  for (const { instance, arrivals } of servers) {
    for (const { id, at } of arrivals) {
      recorder.add(`${id} runs at ${instance}`, at);
    }
  }
  recorder.tell(`${results.length} requests; ${late} of them too late`);
  return late > 0 ? BROKEN : HELD;
}

await runCase({
  recorder,
  play,
  async end() {
    for (const timer of timers) clearInterval(timer);
    await cluster.stop();
    for (const server of servers) server.close();
  },
});
