import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { ContractChanger } from "./contract_changer.ts";
import { plainSystem } from "./plain_system.ts";

const ROUNDS = 3;
const BEFORE_MILLISECONDS = 1_500;
const AFTER_MILLISECONDS = 4_000;
const CHECK_MILLISECONDS = 20_000;
const KINDS = ["kill", "freeze", "planned stop"] as const;

type Kind = typeof KINDS[number];

async function leaderOf(system: RunningSystem): Promise<string> {
  const { cluster } = system;
  let name = "";
  await waitUntil(async () => {
    const status = await fetchStatus(cluster.publicUrl(3));
    name = cluster.entryHosts
      .find((host) => host.internal === status?.leader)?.name ?? "";
    return name !== "";
  }, CHECK_MILLISECONDS);
  return name;
}

async function failLeader(
  system: RunningSystem,
  kind: Kind,
  leader: string,
): Promise<void> {
  const child = system.cluster.child(leader);
  if (kind === "freeze") {
    child.signal("SIGSTOP");
    await pause(AFTER_MILLISECONDS);
    child.signal("SIGCONT");
    return;
  }
  child.signal(kind === "kill" ? "SIGKILL" : "SIGTERM");
  await child.exited;
  await pause(AFTER_MILLISECONDS);
  system.cluster.start(leader);
}

/** Time without accepted changes, and accepted changes that went missing. */
export async function failoverExperiment(): Promise<boolean> {
  const system = plainSystem();
  const rows: (string | number)[][] = [];
  let missing = 0;
  try {
    await system.start();
    for (const kind of KINDS) {
      for (let round = 1; round <= ROUNDS; round += 1) {
        const leader = await leaderOf(system);
        // The entry host without a disk never is the one that fails.
        const changer = new ContractChanger(
          system.cluster.publicUrl(3),
          `${kind.replace(" ", "-")}-${round}`,
        );
        const running = changer.run();
        await pause(BEFORE_MILLISECONDS);
        await failLeader(system, kind, leader);
        await pause(BEFORE_MILLISECONDS);
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
  kind: Kind,
  round: number,
): Promise<number> {
  const workspace = `${kind.replace(" ", "-")}-${round}`;
  const status = await fetchStatus(system.cluster.publicUrl(3));
  const row = status?.contracts.find((one) => one.workspace === workspace);
  return Math.max(0, changer.number - (row?.number ?? 0));
}
