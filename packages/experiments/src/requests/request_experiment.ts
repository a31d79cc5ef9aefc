import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { build, type Histogram } from "hdr-histogram-js";
import { createPortalSystem } from "../control/create_portal_system.ts";
import { readUsage } from "../harness/read_usage.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { makeCall } from "../load/make_call.ts";

const RATES = [100, 200, 400];
const WARM_UP_SECONDS = 5;
const MEASUREMENT_SECONDS = 6;
const MICROSECONDS_PER_MILLISECOND = 1_000;
/** The entry host that is no control host. */
const ENTRY_INDEX = 3;

/** CPU times are per call. */
type Measurement = {
  rate: number;
  entryMicroseconds: number;
  agentMicroseconds: number;
  times: Histogram;
  failed: number;
};

/** Sends calls at a constant rate and records the time of each answer. */
async function sendCalls(
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
    await sleep(Math.max(0, due - performance.now()));
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
        times.recordValue(
          Math.round(result.milliseconds * MICROSECONDS_PER_MILLISECOND),
        );
      } else failed += 1;
    }));
  }
  await Promise.all(calls);
  return { times, sent: count, failed };
}

async function measure(
  system: RunningSystem,
  rate: number,
): Promise<Measurement> {
  const { cluster } = system;
  const url = cluster.publicUrl(ENTRY_INDEX);
  await sendCalls(url, rate, WARM_UP_SECONDS);
  const pids = [
    cluster.child(cluster.entryHosts[ENTRY_INDEX]!.name).pid,
    cluster.child("portal-1").pid,
  ];
  const before = pids.map(readUsage);
  const { times, sent, failed } = await sendCalls(
    url,
    rate,
    MEASUREMENT_SECONDS,
  );
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

/**
 * Measures the CPU time of an entry host and an agent per call. Prints it with
 * the time of a call through them and the time of a call directly to the
 * service. Returns whether all measured calls through them succeeded.
 */
export async function requestExperiment(): Promise<boolean> {
  const system = createPortalSystem();
  try {
    await system.start();
    await system.runClient([
      ...["contract", "create", "desk", "--rate", "5000", "--burst", "2000"],
      ...["--services", "portal"],
    ]);
    await sendCalls(
      system.cluster.publicUrl(ENTRY_INDEX),
      200,
      WARM_UP_SECONDS,
    );
    const rows = [];
    for (const rate of RATES) {
      const row = await measure(system, rate);
      const formatPercentile = (percentile: number) =>
        (row.times.getValueAtPercentile(percentile) /
          MICROSECONDS_PER_MILLISECOND).toFixed(1);
      rows.push([
        rate,
        Math.round(row.entryMicroseconds),
        Math.round(row.agentMicroseconds),
        formatPercentile(50),
        formatPercentile(95),
        formatPercentile(99),
        row.failed,
      ]);
    }
    const directP50 = await measureDirectCalls(system);
    console.log("one entry host, one agent; the service itself takes 10 ms");
    console.log(formatTable(
      ["CALLS/S", "ENTRY US", "AGENT US", "P50 MS", "P95 MS", "P99 MS", "FAIL"],
      rows,
    ));
    console.log(`directly to the service: p50 ${directP50} ms`);
    return rows.every((row) => row.at(-1) === 0);
  } finally {
    await system.destroy();
  }
}

async function measureDirectCalls(system: RunningSystem): Promise<string> {
  const server = system.cluster.backendServers[0]!;
  const { times } = await sendCalls(
    `http://${server.address}`,
    100,
    WARM_UP_SECONDS,
  );
  return (times.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND)
    .toFixed(1);
}
