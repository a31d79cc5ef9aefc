import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { suggestName } from "../output/suggest_name.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";
import type { SystemStatus } from "./system_status.ts";

/**
 * Stops sending new requests to a backend server; `undo` resumes it. Running
 * requests finish.
 */
export async function drainBackend(
  client: OperatorClient,
  backendServer: string,
  options: { undo: boolean },
): Promise<CommandResult> {
  const status = await client.get<SystemStatus>("status");
  if (status.isErr) return createFailureResult(status.error);
  const knownNames = status.value.backend_servers.map((row) =>
    row.backend_server
  );
  if (!knownNames.includes(backendServer) && !options.undo) {
    const suggestion = suggestName(backendServer, knownNames);
    const hint = suggestion === undefined
      ? ""
      : `; did you mean "${suggestion}"?`;
    return createFailureResult({
      kind: "refused",
      message: `no backend server "${backendServer}" announces itself${hint}`,
    });
  }
  const path = `backends/${encodeURIComponent(backendServer)}/drain`;
  const reply = await client.put(path, { drained: !options.undo });
  if (reply.isErr) return createFailureResult(reply.error);
  const text = options.undo
    ? `${backendServer} takes work again`
    : `${backendServer} gets no new work; requests in progress finish`;
  return { exit: exitCode.done, text, json: reply.value };
}
