import assert from "node:assert/strict";
import { test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";

const ENGINES = 6;
const GATEWAYS = 2;
const FIRST_PART = "f1:20";
const HARMFUL_PART = "bad1:20";
const OTHER_PART = "c1:20";
const ATTEMPTS = 30;
/** Between a request with the harmful part and a harmless one. */
const INTERVAL_MILLISECONDS = 100;
const MIN_RETRY_AFTER_SECONDS = 30;

type Answer = { status: number; retryAfter: string | null };

/** Sends a request that is like no other; the status is 0 if it breaks off. */
async function ask(
  system: EndToEndSystem,
  { id, gateway, parts }: { id: string; gateway: string; parts: string[] },
): Promise<Answer> {
  try {
    const { status, headers } = await system.sendRequest("/write/x", {
      id,
      gateway,
      method: "POST",
      body: id,
      headers: {
        Model: "model-1",
        "Token-Usage": "100,8",
        "Prefix-Hash": [...parts, `e${id.length}:20`].join(","),
      },
    });
    return { status, retryAfter: headers.get("retry-after") };
  } catch {
    return { status: 0, retryAfter: null };
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** To each gateway in turn, harmful and harmless ones by turns. */
async function askInTurn(
  system: EndToEndSystem,
  { prefix, attempts }: { prefix: string; attempts: number },
): Promise<{ harmful: Answer[]; harmless: Answer[] }> {
  const harmful: Answer[] = [];
  const harmless: Answer[] = [];
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const gateway = system.gatewayIps[attempt % GATEWAYS]!;
    const id = `${prefix}-${attempt}`;
    const parts = [FIRST_PART, HARMFUL_PART];
    harmful.push(await ask(system, { id, gateway, parts }));
    await sleep(INTERVAL_MILLISECONDS);
    harmless.push(
      await ask(system, {
        id: `${id}-harmless`,
        gateway,
        parts: [FIRST_PART, OTHER_PART],
      }),
    );
    await sleep(INTERVAL_MILLISECONDS);
  }
  return { harmful, harmless };
}

function assertRefused(answers: Answer[]): void {
  for (const { status, retryAfter } of answers) {
    assert.equal(status, 503);
    assert.ok(
      Number(retryAfter) > MIN_RETRY_AFTER_SECONDS,
      `Retry-After ${retryAfter}`,
    );
  }
}

// Guards against a blamed part that is forgotten when all hosts lose power, and
// against refusing what shares its caller and first part.
test("a part that crashes engines is still refused after a power loss", async () => {
  const system = new EndToEndSystem({
    engines: ENGINES,
    gateways: GATEWAYS,
    controlHosts: 3,
  });
  let keepLogs = true;
  try {
    await system.start();
    for (const engine of system.engines) engine.crashingParts = ["bad1"];
    await askInTurn(system, { prefix: "a", attempts: ATTEMPTS });
    const countCrashes = () =>
      system.engines.reduce((sum, engine) => sum + engine.crashCount, 0);
    const before = countCrashes();
    const known = await askInTurn(system, { prefix: "b", attempts: 4 });
    assertRefused(known.harmful);
    await system.restartAll();
    const after = await askInTurn(system, { prefix: "c", attempts: 4 });
    assertRefused(after.harmful);
    assert.equal(countCrashes(), before);
    assert.deepEqual(
      known.harmless.map(({ status }) => status),
      [200, 200, 200, 200],
    );
    keepLogs = false;
  } finally {
    await system.stop({ keepLogs });
  }
});
