import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { formatTable } from "../output/format_table.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";
import { isEvacuated } from "./is_evacuated.ts";
import type { SystemStatus } from "./system_status.ts";

type Row = SystemStatus["backend_servers"][number];

function describeState(row: Row, status: SystemStatus): string {
  if (isEvacuated(row.data_centre, status)) return "evacuated";
  if (row.drained) return "drained";
  return row.accepting ? "serving" : "not-serving";
}

/** Lists the backend servers that announce themselves to the system. */
export async function listBackends(
  client: OperatorClient,
): Promise<CommandResult> {
  const status = await client.get<SystemStatus>("status");
  if (status.isErr) return createFailureResult(status.error);
  const rows = status.value.backend_servers.toSorted((left, right) =>
    left.backend_server < right.backend_server ? -1 : 1
  );
  const text = formatTable(
    ["BACKEND", "CENTRE", "SERVICE", "VERSION", "STATE", "RUNNING", "QUEUED"],
    rows.map((row) => [
      row.backend_server,
      row.data_centre,
      row.service,
      row.version || "-",
      describeState(row, status.value),
      row.running,
      row.queued,
    ]),
  );
  return { exit: exitCode.done, text, json: rows };
}
