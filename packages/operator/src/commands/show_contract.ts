import type { ContractRow } from "@teaselrouter/core/contracts/contract_row.ts";
import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { suggestName } from "../output/suggest_name.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";

/** Shows the current contract of a workspace. */
export async function showContract(
  client: OperatorClient,
  workspace: string,
): Promise<CommandResult> {
  const path = `contracts/${encodeURIComponent(workspace)}`;
  const reply = await client.get<{ current: boolean; row: ContractRow }>(path);
  if (reply.isErr) {
    const suggestion = await suggestWorkspace(client, workspace);
    const hint = suggestion === undefined
      ? ""
      : `; did you mean "${suggestion}"?`;
    return createFailureResult({
      ...reply.error,
      message: `${workspace}: ${reply.error.message}${hint}`,
    });
  }
  const { current, row } = reply.value;
  const state = row.retired ? "retired" : "standing";
  const lines = [
    `${row.workspace}  number ${row.number}  ${state}`,
    ...Object.entries(row.content).map(([key, value]) =>
      `  ${key} = ${JSON.stringify(value)}`
    ),
  ];
  if (!current) lines.push("this entry host is cut off: may be out of date");
  return { exit: exitCode.done, text: lines.join("\n"), json: reply.value };
}

async function suggestWorkspace(
  client: OperatorClient,
  workspace: string,
): Promise<string | undefined> {
  const list = await client.get<{ rows: ContractRow[] }>("contracts");
  if (list.isErr) return undefined;
  return suggestName(workspace, list.value.rows.map((row) => row.workspace));
}
