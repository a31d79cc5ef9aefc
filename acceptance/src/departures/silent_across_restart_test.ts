import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { EndToEndSystem } from "../end_to_end_system.ts";

/** Longer than a heartbeat that is being sent takes. */
const SETTLE_MILLISECONDS = 1_000;
/** Twice the silence after which a server is taken for gone. */
const SILENCE_MILLISECONDS = 12_000;
const REQUESTS = 60;

const system = new EndToEndSystem({
  engines: 1,
  plainServers: 3,
  gateways: 2,
  controlHosts: 3,
});

before(() => system.start());
after(() => system.stop());

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

// Guards against gateways that send to a server for good, as the control hosts
// that knew it have restarted and none of them can tell that it is gone.
test("a server that falls silent while all control hosts restart is given up", async () => {
  const { cluster, plainServers } = system;
  const server = plainServers[0]!;
  system.stopHeartbeats(server);
  await sleep(SETTLE_MILLISECONDS);
  await cluster.restart(system.controlNames);
  await sleep(SILENCE_MILLISECONDS);
  const before = server.ranRequestIds.length;
  for (let index = 0; index < REQUESTS; index += 1) {
    const gateway = system.gatewayIps[index % system.gatewayIps.length]!;
    const id = `silent-${index}`;
    await system.sendRequest("/pay/x", { id, gateway, method: "POST" });
  }
  assert.equal(server.ranRequestIds.length - before, 0);
});
