import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { formatTable } from "../output/format_table.ts";
import type { CommandResult } from "./command_result.ts";
import { failCommand } from "./fail_command.ts";
import type { SystemStatus } from "./system_status.ts";

function headline(status: SystemStatus): string {
  const lease = status.has_lease
    ? `leader ${status.leader}, term ${status.term}`
    : "CUT OFF from the control hosts: guaranteed shares only";
  return `${status.entry_host} in ${status.data_centre}: ${lease}`;
}

function serviceRows(status: SystemStatus) {
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
      rows.filter((row) => row.accepting && !row.drained).length,
      rows.reduce((sum, row) => sum + row.running, 0),
      rows.reduce((sum, row) => sum + row.queued, 0),
      weights?.version ?? "-",
      live,
    ];
  });
}

/** Shows the system on one screen. */
export async function showStatus(
  client: OperatorClient,
): Promise<CommandResult> {
  const reply = await client.get<SystemStatus>("status");
  if (reply.isErr) return failCommand(reply.error);
  const status = reply.value;
  const standing = status.contracts.filter((contract) => !contract.retired);
  const text = [
    headline(status),
    `entry hosts: ${status.entry_hosts.map((row) => row.host).join(", ")}`,
    `contracts standing: ${standing.length}`,
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
      serviceRows(status),
    ),
  ].join("\n");
  return { exit: exitCode.done, text, json: status };
}
