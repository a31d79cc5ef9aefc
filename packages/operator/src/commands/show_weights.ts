import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { formatTable } from "../output/format_table.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";
import type { SystemStatus } from "./system_status.ts";

/** Shows each service's version and how many replicas serve it. */
export async function showWeights(
  client: OperatorClient,
): Promise<CommandResult> {
  const status = await client.get<SystemStatus>("status");
  if (status.isErr) return createFailureResult(status.error);
  const { weights } = status.value;
  const text = formatTable(
    ["SERVICE", "VERSION", "NUMBER", "LIVE", "REPLICAS", "BYTES"],
    weights.map((row) => [
      row.service,
      row.version,
      row.number,
      row.live,
      row.replicas,
      row.bytes,
    ]),
  );
  return { exit: exitCode.done, text, json: weights };
}
