import { ControlSession } from "@teaselrouter/daemon/entry/sessions/control_session.ts";
import { EventLog } from "@teaselrouter/daemon/log/event_log.ts";
import { ClientPool } from "@teaselrouter/daemon/transport/client_pool.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { build } from "hdr-histogram-js";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { ContractChanger } from "./contract_changer.ts";
import { plainSystem } from "./plain_system.ts";

const CHANGES = 300;
const CLAIM_SECONDS = 3;
const CONCURRENCIES = [1, 16, 128, 512];
const MICROSECONDS = 1_000;
const CONNECT_MILLISECONDS = 10_000;

/** Time from a command to in force everywhere, and claims a second. */
export async function contractExperiment(): Promise<boolean> {
  const system = plainSystem();
  try {
    await system.start();
    await measureChanges(system);
    await measureClaims(system);
    return true;
  } finally {
    await system.destroy();
  }
}

async function measureChanges(system: RunningSystem): Promise<void> {
  const rows = [];
  for (const [index, host] of system.cluster.entryHosts.entries()) {
    const changer = new ContractChanger(
      system.cluster.publicUrl(index),
      `desk-${index}`,
    );
    while (changer.number < CHANGES) await changer.changeOnce();
    const times = build();
    for (const { milliseconds } of changer.accepted) {
      times.recordValue(Math.round(milliseconds * MICROSECONDS));
    }
    const at = (percentile: number) =>
      (times.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(1);
    rows.push([host.name, CHANGES, at(50), at(99), at(100), changer.refused]);
  }
  console.log("from the command to in force on all 4 entry hosts, one by one");
  console.log(formatTable(
    ["THROUGH", "CHANGES", "P50 MS", "P99 MS", "WORST MS", "REFUSED"],
    rows,
  ));
}

async function measureClaims(system: RunningSystem): Promise<void> {
  const clients = new ClientPool();
  const session = new ControlSession({
    identity: {
      host: "bench",
      dataCentre: "van",
      incarnation: "bench",
      publicAddress: "",
      internalAddress: "",
    },
    controlHosts: system.cluster.entryHosts
      .filter(({ control }) => control)
      .map(({ internal }) => internal),
    clients,
    log: new EventLog("bench", "error"),
    demands: () => [],
  });
  session.start();
  await waitUntil(() => session.hasLease(Date.now()), CONNECT_MILLISECONDS);
  const rows = [];
  for (const concurrency of CONCURRENCIES) {
    rows.push([concurrency, await claimsPerSecond(session, concurrency)]);
  }
  console.log("\nclaims a second, by how many are under way at once");
  console.log("(1 at a time is one sync a claim; more share a sync)");
  console.log(formatTable(["AT ONCE", "CLAIMS/S"], rows));
  session.stop();
  clients.close();
}

async function claimsPerSecond(
  session: ControlSession,
  concurrency: number,
): Promise<number> {
  const until = performance.now() + CLAIM_SECONDS * 1_000;
  let claimed = 0;
  const claimOn = async (worker: number) => {
    for (let count = 0; performance.now() < until; count += 1) {
      const key = `${concurrency}-${worker}-${count}`;
      const reply = await session.propose({
        kind: "claim",
        workspace: "desk",
        key,
        service: "ledger",
        bodyDigest: "x".repeat(64),
        backendServer: "ledger-1",
        incarnation: "x".repeat(36),
        requestId: `${key}-${"x".repeat(30)}`,
        at: 0,
      });
      if (reply.kind === "committed") claimed += 1;
    }
  };
  await Promise.all(
    Array.from({ length: concurrency }, (_, worker) => claimOn(worker)),
  );
  return Math.round(claimed / CLAIM_SECONDS);
}
