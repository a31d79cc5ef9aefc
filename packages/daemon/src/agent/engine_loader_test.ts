import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { EventLog } from "../log/event_log.ts";
import type { WeightsCache } from "../spread/weights_cache.ts";
import { AgentState } from "./agent_state.ts";
import type { CallRunner } from "./call_runner.ts";
import type { EngineClient } from "./engine_client.ts";
import { EngineLoader } from "./engine_loader.ts";

const STEPS_MILLISECONDS = 500;
const OLD = "drafter@2";
const CURRENT = "drafter@3";
const INCARNATION = "now";

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function grant(
  version: string,
  fencingToken: number,
  incarnation = INCARNATION,
) {
  return { version, fencingToken, incarnation, at: Date.now() };
}

/** A loader whose engine loads at once; `complete` are the versions at hand. */
function openLoader(complete: Set<string>) {
  const state = new AgentState();
  state.recordAnnouncement({
    service: "drafter",
    address: "127.0.0.1:1",
    checks_fencing: true,
    repeatable: true,
    uses_weights: true,
    slots: 4,
  }, Date.now());
  let version = "";
  let stateReads = 0;
  const engine = {
    readState: () => {
      stateReads += 1;
      return Promise.resolve(
        Result.ok({ version, loading: false, fencing_token: 0 }),
      );
    },
    load: (order: { version: string }) => {
      version = order.version;
      return Promise.resolve(Result.ok(undefined));
    },
    probe: () => Promise.resolve(Result.ok(version)),
  };
  const loader = new EngineLoader({
    state,
    engine: engine as unknown as EngineClient,
    runner: { isIdle: true } as CallRunner,
    cache: {
      isComplete: (wanted: string) => complete.has(wanted),
    } as WeightsCache,
    log: new EventLog("agent", "error"),
    incarnation: INCARNATION,
    weightsAddress: "127.0.0.1:2",
  });
  const returned: [number, boolean][] = [];
  loader.loadEnded$.subscribe(({ fencingToken, loaded }) =>
    returned.push([fencingToken, loaded])
  );
  return { loader, state, returned, countStateReads: () => stateReads };
}

// Guards against a permit for a version that was overtaken: kept unused, it holds
// up all other backend servers of the service.
test("a permit for a version that was overtaken is given back at once", () => {
  const { loader, returned } = openLoader(new Set());
  loader.setTarget(OLD);
  loader.receivePermit(grant(OLD, 5));
  assert.deepEqual(returned, []);
  loader.setTarget(CURRENT);
  assert.deepEqual(returned, [[5, false]]);
  loader.receivePermit(grant(OLD, 6));
  assert.deepEqual(returned, [[5, false], [6, false]]);
});

// Guards against the second of two permits for one load, granted through two
// entry hosts: only the later one stands in the log.
test("each of two permits for one load is given back", async () => {
  const { loader, state, returned } = openLoader(new Set([CURRENT]));
  loader.setTarget(CURRENT);
  loader.permitRequested$.subscribe(({ version }) => {
    loader.receivePermit(grant(version, 7));
    setTimeout(
      () => loader.receivePermit(grant(version, 8)),
      STEPS_MILLISECONDS / 2,
    );
  });
  loader.start();
  await sleep(2 * STEPS_MILLISECONDS);
  loader.stop();
  assert.equal(state.servingVersion, CURRENT);
  assert.deepEqual(returned, [[7, true], [8, false]]);
});

// Guards against a permit that was granted late, after the engine went live with
// another: its agent must not take it for one that it knows.
test("a permit that arrives once the target is live is given back", async () => {
  const { loader, returned } = openLoader(new Set([CURRENT]));
  loader.setTarget(CURRENT);
  loader.permitRequested$.subscribe(({ version }) =>
    loader.receivePermit(grant(version, 7))
  );
  loader.start();
  await sleep(STEPS_MILLISECONDS);
  loader.stop();
  loader.receivePermit(grant(CURRENT, 8));
  assert.deepEqual(returned, [[7, true], [8, false]]);
});

// Guards against a load under a permit that was given back, told once more by an
// entry host that lags: another backend server may be loading by then.
test("a permit that was given back is not taken again", () => {
  const { loader, state, returned } = openLoader(new Set());
  state.setServing(CURRENT);
  loader.setTarget(CURRENT);
  loader.receivePermit(grant(CURRENT, 7));
  state.setServing("");
  loader.receivePermit(grant(CURRENT, 7));
  loader.setTarget(OLD);
  assert.deepEqual(returned, [[7, false]]);
});

// Guards against the permit of an agent process that has ended: the next process
// may serve the target already and ask for none.
test("a permit that a former process asked for is given back", () => {
  const { loader, returned } = openLoader(new Set());
  loader.setTarget(CURRENT);
  loader.receivePermit(grant(CURRENT, 7, "before"));
  assert.deepEqual(returned, [[7, false]]);
});

// Guards against an agent that goes on asking a pausing engine for its state, or
// has it load weights.
test("an engine that has asked for a pause is not contacted", async () => {
  const complete = new Set<string>();
  const { loader, state, countStateReads } = openLoader(complete);
  loader.permitRequested$.subscribe(({ version }) =>
    loader.receivePermit(grant(version, 7))
  );
  loader.setTarget(CURRENT);
  loader.start();
  await sleep(STEPS_MILLISECONDS);
  state.pushback.recordAnswer({
    status: 503,
    rawHeaders: ["Retry-After", "1"],
  });
  const before = countStateReads();
  try {
    assert.ok(before > 0);
    complete.add(CURRENT);
    await sleep(800);
    assert.equal(countStateReads(), before);
    assert.equal(state.servingVersion, "");
    await sleep(1_500);
    assert.equal(state.servingVersion, CURRENT, "it loads after the pause");
  } finally {
    loader.stop();
    state.pushback.stop();
  }
});
