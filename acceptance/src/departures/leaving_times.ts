import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { EndToEndSystem } from "../end_to_end_system.ts";
import { callControlHost } from "./call_control_host.ts";

const [controlHosts = "3", servers = "60"] = process.argv.slice(2);
const SERVERS = Number(servers);
const PAUSE_MILLISECONDS = 50;
const SETTLE_MILLISECONDS = 3_000;
const START_MILLISECONDS = 10_000;

const system = new EndToEndSystem({
  controlHosts: Number(controlHosts),
  gateways: 4,
});
const { cluster } = system;

/** What the control hosts have used: processor ticks, bytes written. */
function readUse(): { ticks: number; bytes: number } {
  const uses = system.controlNames.map((name) => {
    const { pid } = cluster.findHost(name).child;
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    return {
      ticks: Number(fields[13]) + Number(fields[14]),
      bytes: Number(/wchar: (\d+)/.exec(io)![1]),
    };
  });
  return {
    ticks: uses.reduce((sum, { ticks }) => sum + ticks, 0),
    bytes: uses.reduce((sum, { bytes }) => sum + bytes, 0),
  };
}

function urlOf(instance: string, index: number): string {
  const { controlUrls } = cluster;
  return `${controlUrls[index % controlUrls.length]!}/instances/${instance}`;
}

/** Announces servers that never serve. */
async function register(group: string): Promise<string[]> {
  const names = Array.from(
    { length: SERVERS },
    (_, index) => `${group}-${index}`,
  );
  await Promise.all(
    names.map((name, index) =>
      callControlHost(urlOf(name, index), "PUT", {
        service: "unused",
        address: `127.9.${Math.floor(index / 250)}.${1 + index % 250}:80`,
        zone: "here",
        slots: 4,
        state: "ready",
        sequence: 1,
        born: Date.now(),
      })
    ),
  );
  await sleep(SETTLE_MILLISECONDS);
  return names;
}

async function leave(name: string, index: number): Promise<number> {
  const startedAt = performance.now();
  const status = await callControlHost(urlOf(name, index), "DELETE");
  return status === 200 ? performance.now() - startedAt : Infinity;
}

async function measure(
  kind: string,
  act: (names: string[]) => Promise<number[]>,
): Promise<void> {
  const names = await register(kind);
  const before = readUse();
  const startedAt = performance.now();
  const times = (await act(names)).sort((left, right) => left - right);
  await sleep(SETTLE_MILLISECONDS - (performance.now() - startedAt));
  const after = readUse();
  console.log(
    kind,
    `p50 ${times[Math.floor(SERVERS / 2)]!.toFixed(1)} ms`,
    `p95 ${times[Math.floor(0.95 * SERVERS)]!.toFixed(1)} ms`,
    `max ${times.at(-1)!.toFixed(1)} ms`,
    `processor ${10 * (after.ticks - before.ticks)} ms`,
    `written ${after.bytes - before.bytes} B`,
  );
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, milliseconds))
  );
}

// Prints how long the acknowledgements of servers that leave take, one after the
// other and all at once, and what the control hosts use in 3 s with them.
try {
  await system.start();
  await waitUntil(() => system.isReady(), START_MILLISECONDS);
  await measure("none", () => Promise.resolve(Array(SERVERS).fill(0)));
  await measure("calm", async (names) => {
    const times: number[] = [];
    for (const [index, name] of names.slice(0, SERVERS / 2).entries()) {
      times.push(await leave(name, index));
      await sleep(PAUSE_MILLISECONDS);
    }
    return [...times, ...times];
  });
  await measure(
    "release",
    (names) => Promise.all(names.map((name, index) => leave(name, index))),
  );
} finally {
  await system.stop();
}
