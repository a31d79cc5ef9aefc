import type { SystemStatus } from "@teaselrouter/operator/commands/system_status.ts";

const CALL_MILLISECONDS = 2_000;

/** An entry host's status, or undefined when it does not answer. */
export async function fetchStatus(
  entry: string,
): Promise<SystemStatus | undefined> {
  try {
    const answer = await fetch(`${entry}/v1/operator/status`, {
      signal: AbortSignal.timeout(CALL_MILLISECONDS),
    });
    return await answer.json() as SystemStatus;
  } catch {
    return undefined;
  }
}
