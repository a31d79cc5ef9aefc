import type { ContractRow } from "@teaselrouter/core/contracts/contract_row.ts";
import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { formatTable } from "../output/format_table.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";

/** Lists all contracts, including retired ones. */
export async function listContracts(
  client: OperatorClient,
): Promise<CommandResult> {
  const reply = await client.get<{ current: boolean; rows: ContractRow[] }>(
    "contracts",
  );
  if (reply.isErr) return createFailureResult(reply.error);
  const text = formatTable(
    ["WORKSPACE", "NUMBER", "STATE", "RATE/S", "BURST", "SERVICES"],
    reply.value.rows.map((row) => [
      row.workspace,
      row.number,
      row.retired ? "retired" : "standing",
      row.content.requests_per_second,
      row.content.burst,
      row.content.services.join(","),
    ]),
  );
  return { exit: exitCode.done, text, json: reply.value };
}
