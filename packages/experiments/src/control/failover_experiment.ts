import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { ContractChanger } from "./contract_changer.ts";
import { createPortalSystem } from "./create_portal_system.ts";

const ROUNDS = 3;
/** How long changes run before a failure, and after the leader is back. */
const STEADY_MILLISECONDS = 1_500;
/** How long a leader stays frozen or stopped. */
const OUTAGE_MILLISECONDS = 4_000;
const LEADER_TIMEOUT_MILLISECONDS = 20_000;
const FAILURE_KINDS = ["kill", "freeze", "planned stop"] as const;

type FailureKind = typeof FAILURE_KINDS[number];

async function waitForLeader(system: RunningSystem): Promise<string> {
  const { cluster } = system;
  let name = "";
  await waitUntil(async () => {
    const status = await fetchStatus(cluster.publicUrl(3));
    name = cluster.entryHosts
      .find((host) => host.internal === status?.leader)?.name ?? "";
    return name !== "";
  }, LEADER_TIMEOUT_MILLISECONDS);
  return name;
}

async function failLeader(
  system: RunningSystem,
  kind: FailureKind,
  leader: string,
): Promise<void> {
  const child = system.cluster.child(leader);
  if (kind === "freeze") {
    child.signal("SIGSTOP");
    await sleep(OUTAGE_MILLISECONDS);
    child.signal("SIGCONT");
    return;
  }
  child.signal(kind === "kill" ? "SIGKILL" : "SIGTERM");
  await child.exited;
  await sleep(OUTAGE_MILLISECONDS);
  system.cluster.start(leader);
}

/**
 * Fails the leader in several ways, and measures the longest time without an
 * accepted change. Returns whether no accepted change was lost.
 */
export async function failoverExperiment(): Promise<boolean> {
  const system = createPortalSystem();
  const rows: (string | number)[][] = [];
  let missing = 0;
  try {
    await system.start();
    for (const kind of FAILURE_KINDS) {
      for (let round = 1; round <= ROUNDS; round += 1) {
        const leader = await waitForLeader(system);
        // Changes go through the entry host that is no control host, and so is
        // never the leader that fails.
        const changer = new ContractChanger(
          system.cluster.publicUrl(3),
          `${kind.replace(" ", "-")}-${round}`,
        );
        const running = changer.run();
        await sleep(STEADY_MILLISECONDS);
        await failLeader(system, kind, leader);
        await sleep(STEADY_MILLISECONDS);
        changer.stop();
        await running;
        const lost = await countMissing(system, changer, kind, round);
        missing += lost;
        rows.push([
          kind,
          round,
          Math.round(changer.longestGap()),
          changer.accepted.length,
          changer.refused,
          lost,
        ]);
      }
    }
  } finally {
    await system.destroy();
  }
  console.log("3 control hosts, election time 600 to 1200 ms");
  console.log(formatTable(
    ["LEADER", "ROUND", "LONGEST GAP MS", "ACCEPTED", "REFUSED", "MISSING"],
    rows,
  ));
  return missing === 0;
}

async function countMissing(
  system: RunningSystem,
  changer: ContractChanger,
  kind: FailureKind,
  round: number,
): Promise<number> {
  const workspace = `${kind.replace(" ", "-")}-${round}`;
  const status = await fetchStatus(system.cluster.publicUrl(3));
  const contract = status?.contracts.find((one) => one.workspace === workspace);
  return Math.max(0, changer.number - (contract?.number ?? 0));
}
