import fc from "fast-check";
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";

const SOUND = {
  service: "plain",
  address: "127.0.0.1:9",
  zone: "here",
  version: "v1",
  slots: 1_000,
  state: "ready",
  sequence: 1,
  born: 1,
};
const REQUESTS = 120;
const DRAWN_ENTRIES = 150;
/** Of 16 MB, as a configuration may have. */
const NESTING = 8_000_000;
/** A caller's second, with the way. */
const MAX_ANSWER_MILLISECONDS = 1_500;

/** Values that JSON can hold and a heartbeat mustn't. */
const oddValue = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom(
    1e308,
    -1,
    0.5,
    Number.MAX_SAFE_INTEGER,
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "300.1.1.1:80",
    [{ name: "model-1", version: 1e300 }],
  ),
);

/** A heartbeat of which one field is something else, or missing. */
const oddEntry = fc.tuple(
  fc.constantFrom(...Object.keys(SOUND), "models", "coldRemainingMs"),
  oddValue,
).map(([field, value]) => ({ ...SOUND, [field]: value }));

async function withSystem(
  scenario: (system: EndToEndSystem) => Promise<void>,
): Promise<void> {
  const system = new EndToEndSystem({
    controlHosts: 3,
    gateways: 2,
    plainServers: 2,
  });
  let keepLogs = true;
  try {
    await system.start();
    await scenario(system);
    keepLogs = false;
  } finally {
    await system.stop({ keepLogs });
  }
}

/** Tells each control host of an entry, and returns their answers' statuses. */
function tellAll(
  system: EndToEndSystem,
  instance: string,
  text: string,
): Promise<number[]> {
  return Promise.all(system.cluster.controlUrls.map(async (base) => {
    const url = `${base}/instances/${instance}`;
    const answer = await fetch(url, { method: "PUT", body: text });
    return answer.status;
  }));
}

/** Statuses other than 200 of requests to each gateway, one after the other. */
async function findFailures(system: EndToEndSystem): Promise<number[]> {
  const failures = system.gatewayIps.map(async (gateway) => {
    const statuses: number[] = [];
    for (let index = 0; index < REQUESTS / 2; index += 1) {
      const id = `odd-${index}-${performance.now()}`;
      const answer = await system.sendRequest("/look/x", { id, gateway });
      if (answer.status !== 200) statuses.push(answer.status);
    }
    return statuses;
  });
  return (await Promise.all(failures)).flat();
}

// Guards against an entry of another writer to which every request that is sent
// fails, and against one that outdates what its instance says later.
test("an entry that can't be right is refused, and nobody is sent to it", async () => {
  await withSystem(async (system) => {
    const changes = [
      { address: "127.0.0.1:99999" },
      { address: "127.0.0.1:0" },
      { address: "999.0.0.1:80" },
      { slots: 1e308 },
      { sequence: Number.MAX_SAFE_INTEGER },
      { born: Number.MAX_SAFE_INTEGER },
      { models: [{ name: "model-1", version: 1e300 }] },
    ];
    for (const [index, change] of changes.entries()) {
      const text = JSON.stringify({ ...SOUND, ...change });
      const statuses = await tellAll(system, `odd-${index}`, text);
      assert.deepEqual(statuses, [400, 400, 400], text);
    }
    assert.deepEqual(await findFailures(system), []);
  });
});

// Guards against an entry that holds up every host that reads it by its nesting.
test("an entry that is nested without end is refused at once", async () => {
  await withSystem(async (system) => {
    const shallow = `${"[".repeat(10_000)}${"]".repeat(10_000)}`;
    const deep = `${"[".repeat(NESTING)}${"]".repeat(NESTING)}`;
    const odd = (text: string) =>
      `${JSON.stringify(SOUND).slice(0, -1)},"other":${text}}`;
    assert.deepEqual(await tellAll(system, "odd", odd(shallow)), [
      400,
      400,
      400,
    ]);
    const from = performance.now();
    const [base] = system.cluster.controlUrls;
    const answer = await fetch(`${base}/config`, { method: "PUT", body: deep });
    assert.equal(answer.status, 400);
    assert.ok(performance.now() - from < MAX_ANSWER_MILLISECONDS);
    assert.deepEqual(await findFailures(system), []);
  });
});

// Guards against processes that end, or stop following, at some odd entry.
test("whatever entries another writer leaves, the others hold", async () => {
  await withSystem(async (system) => {
    const entries = fc.sample(oddEntry, { numRuns: DRAWN_ENTRIES, seed: 74 });
    const statuses = new Set<number>();
    for (const [index, entry] of entries.entries()) {
      // What can be right would be sent to, as a server of its own.
      const text = JSON.stringify({ ...entry, service: "nobody's" });
      const told = await tellAll(system, `drawn-${index}`, text);
      for (const status of told) statuses.add(status);
    }
    assert.deepEqual([...statuses].filter((status) => status >= 500), []);
    const { engines } = system;
    await engines[0]!.crash();
    assert.deepEqual(await findFailures(system), []);
    const names = [...system.controlNames, ...system.gatewayNames];
    const ends = names.map(async (name) => {
      await system.cluster.findHost(name).child.exited;
      return name;
    });
    const first = await Promise.race([...ends, Promise.resolve("none")]);
    assert.equal(first, "none");
  });
});
