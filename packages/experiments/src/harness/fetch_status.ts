import type { SystemStatus } from "@teaselrouter/operator/commands/system_status.ts";

const REQUEST_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Fetches an entry host's status. Returns undefined if there is no valid answer
 * within 2 s.
 */
export async function fetchStatus(
  entry: string,
): Promise<SystemStatus | undefined> {
  try {
    const response = await fetch(`${entry}/v1/operator/status`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    return await response.json() as SystemStatus;
  } catch {
    return undefined;
  }
}
