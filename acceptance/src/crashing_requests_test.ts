import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { WholePath } from "./whole_path.ts";

const CRASHING = "crash";
const STREAMING = "/write/x";
const MODEL_HEADERS = { Model: "model-1", "Token-Usage": "100,8" };
const ENGINES = 4;
const GATEWAYS = 2;
const ROUNDS = 14;
const ROUND_MILLISECONDS = 300;
/** Three ends to learn from, and three more that news may be too late for. */
const MOST_CRASHES = 6;
const CHECK_MILLISECONDS = 10_000;

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Its status, or 0 where the answer broke off. */
async function ask(
  path: WholePath,
  options: { id: string; gateway: string; body: string; place?: string },
): Promise<{ status: number; retryAfter: string | null }> {
  try {
    const { place = STREAMING } = options;
    const { status, headers } = await path.ask(place, {
      ...options,
      method: "POST",
      ...(place === STREAMING && { headers: MODEL_HEADERS }),
    });
    return { status, retryAfter: headers.get("retry-after") };
  } catch {
    return { status: 0, retryAfter: null };
  }
}

type Answer = Awaited<ReturnType<typeof ask>>;

async function withCrashingEngines(
  story: (path: WholePath) => Promise<void>,
): Promise<void> {
  const path = new WholePath({ engines: ENGINES, gateways: GATEWAYS });
  try {
    await path.start();
    for (const engine of path.engines) engine.crashesOn = [CRASHING];
    await story(path);
  } finally {
    await path.stop();
  }
}

/** Sends the request at fault to the gateways in turn. */
async function askInTurn(
  path: WholePath,
  rounds: number,
  place?: string,
): Promise<Answer[]> {
  const answers = [];
  for (let round = 0; round < rounds; round += 1) {
    const gateway = path.gatewayIps[round % GATEWAYS]!;
    const id = `crash-${round}`;
    answers.push(
      await ask(path, {
        id,
        gateway,
        body: CRASHING,
        ...(place !== undefined && { place }),
      }),
    );
    await pause(ROUND_MILLISECONDS);
  }
  return answers;
}

function countCrashes(path: WholePath): number {
  return path.engines.reduce((sum, engine) => sum + engine.crashes, 0);
}

function assertRefused(answers: Answer[]): void {
  for (const { status, retryAfter } of answers) {
    assert.equal(status, 503);
    assert.ok(Number(retryAfter) > 60, `Retry-After ${retryAfter}`);
  }
}

// Guards against a request that ends each backend server which runs it, comes
// again at all gateways, and takes one backend server after the other.
test("a request that ends backend servers is refused by every gateway", async () => {
  await withCrashingEngines(async (path) => {
    const answers = await askInTurn(path, ROUNDS);
    const crashes = countCrashes(path);
    console.log(`${crashes} ends under ${ROUNDS} arrivals`);
    assert.ok(crashes <= MOST_CRASHES, `${crashes} ends`);
    assertRefused(answers.slice(-GATEWAYS));
    for (const gateway of path.gatewayIps) {
      const served = await waitUntil(
        async () =>
          (await ask(path, { id: "other", gateway, body: "prompt" })).status ===
            200,
        CHECK_MILLISECONDS,
      );
      assert.ok(served, "the caller's other requests are served");
    }
  });
});

// Guards against a loss of all power after which everything is learnt anew,
// at the cost of three more backend servers.
test("a request that ends backend servers is known after a loss of power", async () => {
  await withCrashingEngines(async (path) => {
    await askInTurn(path, ROUNDS);
    const before = countCrashes(path);
    await path.restartAll();
    assertRefused(await askInTurn(path, GATEWAYS));
    assert.equal(countCrashes(path), before);
  });
});

// Guards against a loss of power ahead of the verdict, behind which as many
// backend servers have to end as before.
test("ends ahead of a blame are known after a loss of power", async () => {
  await withCrashingEngines(async (path) => {
    await askInTurn(path, 1);
    assert.equal(countCrashes(path), 2, "the gateway's own second send");
    await pause(ROUND_MILLISECONDS);
    await path.restartAll();
    await askInTurn(path, ROUNDS / 2);
    const crashes = countCrashes(path);
    assert.ok(crashes <= MOST_CRASHES - 2, `${crashes} ends`);
  });
});

// Guards against a fault that shows only where an answer's head comes first:
// plain answers come whole or not at all.
test("one that doesn't stream and ends backend servers is refused as well", async () => {
  await withCrashingEngines(async (path) => {
    path.plain.crashesOn = [CRASHING];
    const answers = await askInTurn(path, ROUNDS, "/look/x");
    assert.ok(path.plain.crashes >= 3);
    assert.ok(path.plain.crashes <= MOST_CRASHES, `${path.plain.crashes} ends`);
    assertRefused(answers.slice(-GATEWAYS));
  });
});
