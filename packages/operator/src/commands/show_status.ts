import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { formatTable } from "../output/format_table.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";
import { isEvacuated } from "./is_evacuated.ts";
import type { SystemStatus } from "./system_status.ts";

function formatHeadline(status: SystemStatus): string {
  const lease = status.has_lease
    ? `leader ${status.leader}, term ${status.term}`
    : "CUT OFF from the control hosts: guaranteed shares only";
  return `${status.entry_host} in ${status.data_centre}: ${lease}`;
}

function buildServiceRows(status: SystemStatus) {
  const services = [
    ...new Set(status.backend_servers.map((row) => row.service)),
  ].sort();
  return services.map((service) => {
    const rows = status.backend_servers.filter((row) =>
      row.service === service
    );
    const weights = status.weights.find((row) => row.service === service);
    const live = weights === undefined
      ? "-"
      : `${weights.live}/${weights.replicas}`;
    return [
      service,
      rows.length,
      rows.filter((row) =>
        row.accepting && !row.drained && !isEvacuated(row.data_centre, status)
      ).length,
      rows.reduce((sum, row) => sum + row.running, 0),
      rows.reduce((sum, row) => sum + row.queued, 0),
      weights?.version ?? "-",
      live,
    ];
  });
}

function formatEvacuations({ evacuations = [] }: SystemStatus): string[] {
  return evacuations.map(({ data_centre, since }) =>
    `EVACUATED: ${data_centre} since ${new Date(since).toISOString()}`
  );
}

/** Shows an overview of the system that fits on one screen. */
export async function showStatus(
  client: OperatorClient,
): Promise<CommandResult> {
  const reply = await client.get<SystemStatus>("status");
  if (reply.isErr) return createFailureResult(reply.error);
  const status = reply.value;
  const activeContracts = status.contracts.filter((contract) =>
    !contract.retired
  );
  const text = [
    formatHeadline(status),
    `entry hosts: ${status.entry_hosts.map((row) => row.host).join(", ")}`,
    `contracts standing: ${activeContracts.length}`,
    ...formatEvacuations(status),
    "",
    formatTable(
      [
        "SERVICE",
        "BACKENDS",
        "SERVING",
        "RUNNING",
        "QUEUED",
        "WEIGHTS",
        "LIVE",
      ],
      buildServiceRows(status),
    ),
  ].join("\n");
  return { exit: exitCode.done, text, json: status };
}
