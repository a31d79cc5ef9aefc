import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";
import { failCommand } from "./fail_command.ts";

/** Frees the guaranteed shares of an entry host that will not come back. */
export async function removeEntry(
  client: OperatorClient,
  host: string,
): Promise<CommandResult> {
  const path = `entries/${encodeURIComponent(host)}/remove`;
  const reply = await client.put(path, {});
  if (reply.isErr) return failCommand(reply.error);
  const text = `${host} holds no guaranteed shares any more`;
  return { exit: exitCode.done, text, json: reply.value };
}
