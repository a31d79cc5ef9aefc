import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";

const GATEWAYS = 8;
/** Until gateways that have just started use what they are told. */
const COUNT_MILLISECONDS = 20_000;
/** A planned stop, 3 s of silence and the time until a larger part is used. */
const LEAVE_MILLISECONDS = 25_000;
/** Longer than that time after 3 s of silence. */
const OBSERVATION_MILLISECONDS = 11_000;

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

// Guards against a gateway that leaves and is counted on for half an hour, and
// against the part of one that was killed, or can't be heard, given to others.
test("gateways count each other, also when one stops or is killed", async () => {
  const system = new EndToEndSystem({
    engines: 1,
    gateways: GATEWAYS,
    controlHosts: 3,
    gatewayFields: {
      bounds: {
        graceS: 8,
        version_ms: 8_000,
        coldOvershoot: 1.5,
        coldStartSlack: 5,
      },
    },
  });
  const child = (name: string) => system.cluster.findHost(name).child;
  const latestCount = (name: string) =>
    [...child(name).output.matchAll(/event=gateways-counted gateways=(\w+)/g)]
      .at(-1)?.[1];
  let keepLogs = true;
  try {
    await system.start();
    const [stopped, killed, ...others] = system.gatewayNames;
    const countIs = (count: number) => () =>
      others.every((name) => latestCount(name) === String(count));
    const counts = () => others.map(latestCount).join();
    assert.ok(await waitUntil(countIs(8), COUNT_MILLISECONDS), counts());
    child(stopped!).signal("SIGTERM");
    assert.ok(await waitUntil(countIs(7), LEAVE_MILLISECONDS), counts());
    child(killed!).signal("SIGKILL");
    await sleep(OBSERVATION_MILLISECONDS);
    assert.ok(countIs(7)(), counts());
    keepLogs = false;
  } finally {
    await system.stop({ keepLogs });
  }
});
