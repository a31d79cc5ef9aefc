import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";

/** Makes a control host that lost its disk a voter again, with a new id. */
export async function replaceMember(
  client: OperatorClient,
  name: string,
): Promise<CommandResult> {
  const path = `members/${encodeURIComponent(name)}/replace`;
  const reply = await client.put<{ stands: string }>(path, {});
  if (reply.isErr) return createFailureResult(reply.error);
  const text = `${name} votes again, as ${reply.value.stands}`;
  return { exit: exitCode.done, text, json: reply.value };
}
