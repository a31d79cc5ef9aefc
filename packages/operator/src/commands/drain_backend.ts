import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { suggestName } from "../output/suggest_name.ts";
import type { CommandResult } from "./command_result.ts";
import { failCommand } from "./fail_command.ts";
import type { SystemStatus } from "./system_status.ts";

/** Takes a backend server out of work, or with `undo` back in. */
export async function drainBackend(
  client: OperatorClient,
  backendServer: string,
  options: { undo: boolean },
): Promise<CommandResult> {
  const status = await client.get<SystemStatus>("status");
  if (status.isErr) return failCommand(status.error);
  const names = status.value.backend_servers.map((row) => row.backend_server);
  if (!names.includes(backendServer) && !options.undo) {
    const near = suggestName(backendServer, names);
    const hint = near === undefined ? "" : `; did you mean "${near}"?`;
    return failCommand({
      kind: "refused",
      message: `no backend server "${backendServer}" announces itself${hint}`,
    });
  }
  const path = `backends/${encodeURIComponent(backendServer)}/drain`;
  const reply = await client.put(path, { drained: !options.undo });
  if (reply.isErr) return failCommand(reply.error);
  const text = options.undo
    ? `${backendServer} takes work again`
    : `${backendServer} gets no new work; requests in progress finish`;
  return { exit: exitCode.done, text, json: reply.value };
}
