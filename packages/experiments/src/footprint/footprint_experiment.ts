import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import process from "node:process";
import { findFreeAddresses } from "../harness/find_free_addresses.ts";
import { readUsage } from "../harness/read_usage.ts";
import { RunningSystem } from "../harness/running_system.ts";
import type { Topology } from "../harness/topology.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import { waitUntil } from "../harness/wait_until.ts";

const DATA_CENTRES = ["van", "kel", "pgr"];
const AGENTS_PER_PROCESS = 25;
const SETTLE_MILLISECONDS = 8_000;
const MEASUREMENT_SECONDS = 5;
const CHANGES = 15;
const REQUESTS_PER_SECOND = 150;
const READY_TIMEOUT_MILLISECONDS = 40_000;
const RUNS = Number(process.env["RUNS"] ?? 3);

/** Numbers of entry hosts and agents of a measured system. */
type Shape = { entries: number; agents: number };

/** Mean resource use of one process. */
type Cost = {
  cpuPercent: number;
  megabytes: number;
  kilobytesPerSecond: number;
  /** System calls that read or write. */
  systemCallsPerSecond: number;
};

type Row = Shape & { run: number; phase: string; role: string; cost: Cost };

const SHAPES: Shape[] = [
  { entries: 4, agents: 12 },
  { entries: 16, agents: 12 },
  { entries: 4, agents: 100 },
  { entries: 4, agents: 200 },
];

function createTopology(shape: Shape): Topology {
  return {
    entryHosts: Array.from({ length: shape.entries }, (_, index) => ({
      name: `entry-${index + 1}`,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
      control: index < 3,
    })),
    services: [{ service: "portal", kind: "repeatable", dataCentres: ["van"] }],
    linkBytesPerSecond: 0,
    regionBytesPerSecond: 0,
    spreadObjective: "time",
    withRelays: false,
    logLevel: "error",
  };
}

/** Measures the mean resource use of the processes over a few seconds. */
async function measureCost(pids: number[]): Promise<Cost> {
  const before = pids.map(readUsage);
  await sleep(MEASUREMENT_SECONDS * 1_000);
  const after = pids.map(readUsage);
  const perSecond = (pick: (usage: (typeof before)[number]) => number) =>
    after.reduce(
      (sum, usage, index) => sum + pick(usage) - pick(before[index]!),
      0,
    ) /
    pids.length / MEASUREMENT_SECONDS;
  const resident = after.reduce((sum, usage) => sum + usage.residentBytes, 0);
  return {
    cpuPercent: perSecond((usage) => usage.cpuSeconds) * 100,
    megabytes: resident / pids.length / 1_000_000,
    kilobytesPerSecond: perSecond((usage) => usage.ioBytes) / 1_000,
    systemCallsPerSecond: perSecond((usage) => usage.ioCalls),
  };
}

/**
 * Starts `count` light agents, which share processes, with their services. Waits
 * until the first entry host knows their backend servers.
 */
async function startLightAgents(
  system: RunningSystem,
  count: number,
): Promise<void> {
  const addresses = await findFreeAddresses(count * 3);
  const agents = Array.from({ length: count }, (_, index) => ({
    name: `light-${index + 1}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
    internal: addresses.pop()!,
    agentAddress: addresses.pop()!,
    address: addresses.pop()!,
  }));
  const entryHosts = system.cluster.entryHosts.map((host) => host.internal);
  for (let first = 0; first < count; first += AGENTS_PER_PROCESS) {
    system.startHelper(`light-${first}`, "footprint/run_light_agents.js", {
      agents: agents.slice(first, first + AGENTS_PER_PROCESS),
      entryHosts,
    });
  }
  const all = await waitUntil(async () => {
    const status = await fetchStatus(system.cluster.publicUrl(0));
    return (status?.backend_servers.length ?? 0) > count;
  }, READY_TIMEOUT_MILLISECONDS);
  if (!all) throw new Error("not all light agents announced themselves");
}

async function findLeaderName(system: RunningSystem): Promise<string> {
  const status = await fetchStatus(system.cluster.publicUrl(0));
  return system.cluster.entryHosts
    .find((host) => host.internal === status?.leader)?.name ?? "entry-1";
}

async function measureShape(shape: Shape, run: number): Promise<Row[]> {
  const system = new RunningSystem({
    topology: createTopology(shape),
    model: "none",
    totalBytes: 1,
    chunkBytes: 1,
    commonChunks: 0,
    originBytesPerSecond: 0,
  });
  const rows: Row[] = [];
  try {
    await system.start();
    await startLightAgents(system, shape.agents - 1);
    await system.runClient([
      ...["contract", "create", "desk", "--rate", "1000", "--burst", "200"],
      ...["--services", "portal"],
    ]);
    const leader = await findLeaderName(system);
    const pidOf = (name: string) => system.cluster.child(name).pid;
    const others = system.cluster.entryHosts
      .filter(({ name, control }) => name !== leader && !control);
    const groups: Record<string, number[]> = {
      leader: [pidOf(leader)],
      entry: others.map(({ name }) => pidOf(name)),
      agent: [pidOf("portal-1")],
    };
    const measurePhase = async (phase: string) => {
      const costs = await Promise.all(
        Object.values(groups).map((pids) => measureCost(pids)),
      );
      Object.keys(groups).forEach((role, index) => {
        rows.push({ ...shape, run, phase, role, cost: costs[index]! });
      });
    };
    await sleep(SETTLE_MILLISECONDS);
    await measurePhase("idle");
    await Promise.all([measurePhase("changes"), makeChanges(system)]);
    const load = system.startLoad({
      workspace: "desk",
      seed: run,
      deadlineMilliseconds: 2_000,
      streams: [{
        service: "portal",
        callsPerSecond: REQUESTS_PER_SECOND,
        kind: "repeatable",
      }],
    });
    await sleep(1_000);
    await measurePhase("requests");
    await system.stopLoad(load);
    return rows;
  } finally {
    await system.destroy();
  }
}

async function makeChanges(system: RunningSystem): Promise<void> {
  const url = `${system.cluster.publicUrl(0)}/v1/operator/contracts/desk`;
  const pauseMilliseconds = MEASUREMENT_SECONDS * 1_000 / CHANGES;
  for (let number = 1; number < CHANGES; number += 1) {
    const answer = await fetch(url, {
      method: "PUT",
      body: JSON.stringify({
        expected: number,
        content: {
          requests_per_second: 1_000 + number,
          burst: 200,
          services: ["portal"],
        },
      }),
    });
    await answer.text();
    await sleep(pauseMilliseconds);
  }
}

function formatRange(values: number[], digits: number): string {
  const low = Math.min(...values).toFixed(digits);
  const high = Math.max(...values).toFixed(digits);
  return low === high ? low : `${low}..${high}`;
}

/**
 * Measures the resource use per process of the leader, of entry hosts that are
 * no control hosts, and of an agent: idle, during contract changes and during
 * requests, for several numbers of entry hosts and agents.
 */
export async function footprintExperiment(): Promise<boolean> {
  const rows: Row[] = [];
  for (const shape of SHAPES) {
    for (let run = 1; run <= RUNS; run += 1) {
      rows.push(...await measureShape(shape, run));
    }
    printShape(
      rows.filter((row) =>
        row.entries === shape.entries && row.agents === shape.agents
      ),
    );
  }
  return true;
}

function printShape(rows: Row[]): void {
  const { entries, agents } = rows[0]!;
  console.log(`\n${entries} entry hosts, ${agents} agents, ${RUNS} runs`);
  const keys = [...new Set(rows.map((row) => `${row.phase} ${row.role}`))];
  console.log(formatTable(
    ["PHASE ROLE", "CPU %", "MB", "KB/S", "READS+WRITES/S"],
    keys.map((key) => {
      const costs = rows
        .filter((row) => `${row.phase} ${row.role}` === key)
        .map((row) => row.cost);
      return [
        key,
        formatRange(costs.map((cost) => cost.cpuPercent), 1),
        formatRange(costs.map((cost) => cost.megabytes), 0),
        formatRange(costs.map((cost) => cost.kilobytesPerSecond), 1),
        formatRange(costs.map((cost) => cost.systemCallsPerSecond), 0),
      ];
    }),
  ));
}
