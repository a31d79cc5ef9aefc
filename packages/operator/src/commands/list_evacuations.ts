import type { EvacuationRow } from "@teaselrouter/core/evacuations/evacuation_row.ts";
import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { formatTable } from "../output/format_table.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";

/** Lists the evacuations in force and when each began. */
export async function listEvacuations(
  client: OperatorClient,
): Promise<CommandResult> {
  const reply = await client.get<{ current: boolean; rows: EvacuationRow[] }>(
    "evacuations",
  );
  if (reply.isErr) return createFailureResult(reply.error);
  const { current, rows } = reply.value;
  const table = formatTable(
    ["CENTRE", "SINCE"],
    rows.map(({ dataCentre, at }) => [dataCentre, new Date(at).toISOString()]),
  );
  const text = current
    ? table
    : `${table}\nas last known: no leader confirmed it`;
  return { exit: exitCode.done, text, json: reply.value };
}
