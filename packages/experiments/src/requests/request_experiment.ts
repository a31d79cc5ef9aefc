import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { build, type Histogram } from "hdr-histogram-js";
import { plainSystem } from "../control/plain_system.ts";
import { readUsage } from "../harness/read_usage.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { makeCall } from "../load/make_call.ts";

const RATES = [100, 200, 400];
const WARM_SECONDS = 5;
const MEASURE_SECONDS = 6;
const MICROSECONDS = 1_000;
const ENTRY = 3;

type Measured = {
  rate: number;
  entryMicroseconds: number;
  agentMicroseconds: number;
  times: Histogram;
  failed: number;
};

/** Sends calls at an even rate and notes how long each took. */
async function drive(
  url: string,
  rate: number,
  seconds: number,
): Promise<{ times: Histogram; sent: number; failed: number }> {
  const times = build();
  const calls: Promise<void>[] = [];
  let failed = 0;
  const startedAt = performance.now();
  const count = rate * seconds;
  for (let index = 0; index < count; index += 1) {
    const due = startedAt + index * 1_000 / rate;
    await pause(Math.max(0, due - performance.now()));
    const call = makeCall({
      entry: url,
      workspace: "desk",
      service: "portal",
      body: `call ${index}`,
      idempotencyKey: undefined,
      deadlineMilliseconds: 2_000,
      weightDigests: undefined,
    });
    calls.push(call.then((result) => {
      if (result.kind === "whole") {
        times.recordValue(Math.round(result.milliseconds * MICROSECONDS));
      } else failed += 1;
    }));
  }
  await Promise.all(calls);
  return { times, sent: count, failed };
}

async function measure(
  system: RunningSystem,
  rate: number,
): Promise<Measured> {
  const { cluster } = system;
  const url = cluster.publicUrl(ENTRY);
  await drive(url, rate, WARM_SECONDS);
  const pids = [
    cluster.child(cluster.entryHosts[ENTRY]!.name).pid,
    cluster.child("portal-1").pid,
  ];
  const before = pids.map(readUsage);
  const { times, sent, failed } = await drive(url, rate, MEASURE_SECONDS);
  const after = pids.map(readUsage);
  const [entryMicroseconds, agentMicroseconds] = after.map((usage, index) =>
    (usage.cpuSeconds - before[index]!.cpuSeconds) * 1e6 / sent
  );
  return {
    rate,
    entryMicroseconds: entryMicroseconds!,
    agentMicroseconds: agentMicroseconds!,
    times,
    failed,
  };
}

/** What a call costs on our own path, and how much time it adds. */
export async function requestExperiment(): Promise<boolean> {
  const system = plainSystem();
  try {
    await system.start();
    await system.client([
      ...["contract", "create", "desk", "--rate", "5000", "--burst", "2000"],
      ...["--services", "portal"],
    ]);
    await drive(system.cluster.publicUrl(ENTRY), 200, WARM_SECONDS);
    const rows = [];
    for (const rate of RATES) {
      const row = await measure(system, rate);
      const at = (percentile: number) =>
        (row.times.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(1);
      rows.push([
        rate,
        Math.round(row.entryMicroseconds),
        Math.round(row.agentMicroseconds),
        at(50),
        at(95),
        at(99),
        row.failed,
      ]);
    }
    const direct = await directTimes(system);
    console.log("one entry host, one agent; the service itself takes 10 ms");
    console.log(formatTable(
      ["CALLS/S", "ENTRY US", "AGENT US", "P50 MS", "P95 MS", "P99 MS", "FAIL"],
      rows,
    ));
    console.log(`straight to the service: p50 ${direct} ms`);
    return rows.every((row) => row.at(-1) === 0);
  } finally {
    await system.destroy();
  }
}

async function directTimes(system: RunningSystem): Promise<string> {
  const server = system.cluster.backendServers[0]!;
  const { times } = await drive(`http://${server.address}`, 100, WARM_SECONDS);
  return (times.getValueAtPercentile(50) / MICROSECONDS).toFixed(1);
}
