import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { suggestName } from "../output/suggest_name.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";
import type { SystemStatus } from "./system_status.ts";

/**
 * Stops sending new requests to the backend servers of a data centre, or
 * resumes it. Running requests finish.
 */
export async function orderEvacuation(
  client: OperatorClient,
  dataCentre: string,
  { evacuated }: { evacuated: boolean },
): Promise<CommandResult> {
  const status = await client.get<SystemStatus>("status");
  if (status.isErr) return createFailureResult(status.error);
  const knownNames = listDataCentres(status.value);
  if (!knownNames.includes(dataCentre)) {
    const suggestion = suggestName(dataCentre, knownNames);
    const hint = suggestion === undefined
      ? ""
      : `; did you mean "${suggestion}"?`;
    return createFailureResult({
      kind: "refused",
      message: `no host or backend server is in "${dataCentre}"${hint}`,
    });
  }
  const path = `evacuations/${encodeURIComponent(dataCentre)}`;
  const reply = await client.put(path, { evacuated });
  if (reply.isErr) return createFailureResult(reply.error);
  const text = evacuated
    ? `${dataCentre} gets no new requests; requests in progress finish`
    : `${dataCentre} gets requests again`;
  return { exit: exitCode.done, text, json: reply.value };
}

function listDataCentres(status: SystemStatus): string[] {
  return [
    ...new Set([
      status.data_centre,
      ...status.entry_hosts.map((row) => row.dataCentre),
      ...status.backend_servers.map((row) => row.data_centre),
      ...(status.evacuations ?? []).map((row) => row.data_centre),
    ]),
  ];
}
