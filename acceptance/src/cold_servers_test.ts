import assert from "node:assert/strict";
import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import { performance } from "node:perf_hooks";
import { test } from "node:test";
import { countMostWithin } from "./count_most_within.ts";
import { EndToEndSystem } from "./end_to_end_system.ts";

const GATEWAYS = 10;
/** Fewer than requests are under way: full demand. */
const SLOTS = 3;
const COLD_MILLISECONDS = 6_000;
/** From the first heartbeat that says so until all gateways know. */
const PROPAGATION_MILLISECONDS = 1_000;
const LOAD_MILLISECONDS = 4_000;
const INTERVAL_MILLISECONDS = 60;
const FREEZE_MILLISECONDS = 2_000;
/** Until gateways that have just started use what they are told. */
const COUNT_MILLISECONDS = 20_000;
const COLD_PER_SECOND = 14;
const MAX_REQUESTS = COLD_PER_SECOND * 1.5 + 5;

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

// Guards against gateways that together send a cold server more than it bears,
// one that wakes from a freeze among them, and against callers that are refused
// meanwhile though another server has room.
test("ten gateways keep the bound of a cold server and serve callers elsewhere", async () => {
  const system = new EndToEndSystem({
    engines: 2,
    gateways: GATEWAYS,
    slots: SLOTS,
    gatewayFields: {
      bounds: {
        graceS: 8,
        version_ms: 8_000,
        coldOvershoot: 1.5,
        coldStartSlack: 5,
      },
    },
  });
  let keepLogs = true;
  try {
    await system.start();
    await system.configure(2, {
      // Late only after a wait that none of these requests has.
      routes: { write: { sloMs: 1_500 } },
      services: { writer: { coldStartS: 3, coldPerS: COLD_PER_SECOND } },
    });
    const counted = `event=gateways-counted gateways=${GATEWAYS}`;
    const areCounted = () =>
      system.gatewayNames.every((name) =>
        system.cluster.findHost(name).child.output.includes(counted)
      );
    assert.ok(await waitUntil(areCounted, COUNT_MILLISECONDS));
    const [cold] = system.engines;
    cold!.coldUntil = performance.now() + COLD_MILLISECONDS;
    await sleep(PROPAGATION_MILLISECONDS);
    const from = performance.now();
    const answers: Promise<string>[] = [];
    const [, frozen, killed] = system.gatewayNames;
    const untouched = system.gatewayIps.filter((_, index) =>
      index !== 1 && index !== 2
    );
    const child = (name: string) => system.cluster.findHost(name).child;
    setTimeout(() => child(frozen!).signal("SIGSTOP"), 500);
    setTimeout(
      () => child(frozen!).signal("SIGCONT"),
      500 + FREEZE_MILLISECONDS,
    );
    setTimeout(() => child(killed!).signal("SIGKILL"), 1_000);
    for (let round = 0; performance.now() < from + LOAD_MILLISECONDS; round++) {
      for (const gateway of system.gatewayIps) {
        const id = `load-${round}-${gateway}`;
        const answer = system.sendRequest("/write/x", {
          id,
          gateway,
          method: "POST",
          body: id,
          headers: { Model: "model-1", "Token-Usage": "100,8" },
        }).then(
          ({ status, text }) => status === 200 ? "" : `${status} ${text}`,
          String,
        );
        if (untouched.includes(gateway)) answers.push(answer);
      }
      await sleep(INTERVAL_MILLISECONDS);
    }
    const to = performance.now();
    assert.ok(to < cold!.coldUntil, "it was cold all the while");
    const arrivals = cold!.arrivals.map(({ at }) => at)
      .filter((at) => at > from && at < to);
    const most = countMostWithin(arrivals, 1_000);
    console.log(`${arrivals.length} arrivals, ${most} in the fullest second`);
    assert.ok(most <= MAX_REQUESTS, `${most} in a second`);
    assert.ok(arrivals.length >= GATEWAYS, "it is not left idle");
    const unserved = (await Promise.all(answers)).filter(Boolean);
    assert.deepEqual(unserved, [], "all others are served");
    keepLogs = false;
  } finally {
    await system.stop({ keepLogs });
  }
});
