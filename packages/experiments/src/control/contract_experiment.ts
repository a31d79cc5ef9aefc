import { ControlSession } from "@teaselrouter/daemon/entry/sessions/control_session.ts";
import { EventLog } from "@teaselrouter/daemon/log/event_log.ts";
import { ClientPool } from "@teaselrouter/daemon/transport/client_pool.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { build } from "hdr-histogram-js";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { ContractChanger } from "./contract_changer.ts";
import { createPortalSystem } from "./create_portal_system.ts";

const CHANGES = 300;
const CLAIM_SECONDS = 3;
const CONCURRENCIES = [1, 16, 128, 512];
const MICROSECONDS_PER_MILLISECOND = 1_000;
const CONNECT_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Measures the time from a command until it is in force on all entry hosts, and
 * the number of claims per second.
 */
export async function contractExperiment(): Promise<boolean> {
  const system = createPortalSystem();
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
      times.recordValue(
        Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND),
      );
    }
    const formatPercentile = (percentile: number) =>
      (times.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND)
        .toFixed(1);
    rows.push([
      host.name,
      CHANGES,
      formatPercentile(50),
      formatPercentile(99),
      formatPercentile(100),
      changer.refused,
    ]);
  }
  console.log(
    "from a command until it is in force on all 4 entry hosts, one at a time",
  );
  console.log(formatTable(
    ["ENTRY HOST", "CHANGES", "P50 MS", "P99 MS", "MAX MS", "REFUSED"],
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
  await waitUntil(
    () => session.hasLease(Date.now()),
    CONNECT_TIMEOUT_MILLISECONDS,
  );
  const rows = [];
  for (const concurrency of CONCURRENCIES) {
    rows.push([concurrency, await claimsPerSecond(session, concurrency)]);
  }
  console.log("\nclaims per second, by number of concurrent claims");
  console.log(
    "(a single claim needs a sync of its own; concurrent ones share syncs)",
  );
  console.log(formatTable(["CONCURRENT", "CLAIMS/S"], rows));
  session.stop();
  clients.close();
}

async function claimsPerSecond(
  session: ControlSession,
  concurrency: number,
): Promise<number> {
  const until = performance.now() + CLAIM_SECONDS * 1_000;
  let claimed = 0;
  const claimRepeatedly = async (worker: number) => {
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
    Array.from({ length: concurrency }, (_, worker) => claimRepeatedly(worker)),
  );
  return Math.round(claimed / CLAIM_SECONDS);
}
