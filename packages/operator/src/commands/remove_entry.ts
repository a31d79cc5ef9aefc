import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";

/** Frees the guaranteed shares of an entry host that won't return. */
export async function removeEntry(
  client: OperatorClient,
  host: string,
): Promise<CommandResult> {
  const path = `entries/${encodeURIComponent(host)}/remove`;
  const reply = await client.put(path, {});
  if (reply.isErr) return createFailureResult(reply.error);
  const text = `${host} holds no guaranteed shares any more`;
  return { exit: exitCode.done, text, json: reply.value };
}
