import type { ColdPart } from "./cold_part.ts";

/**
 * Sends that are counted this far apart leave the host at least a second apart:
 * one may still wait for its connection, for up to 150 ms, or for the process.
 */
const SECOND_MILLISECONDS = 1_200;

/**
 * Time between two requests of one gateway to the same cold backend server,
 * milliseconds; undefined without a part. In any second it sends no more than
 * its part, and all gateways on average what the backend server bears.
 *
 * @param requestsPerSecond what the backend server bears from all gateways.
 */
export function coldSendInterval(
  requestsPerSecond: number,
  { requests, gateways }: ColdPart,
): number | undefined {
  if (requests < 1) return undefined;
  return Math.max(
    SECOND_MILLISECONDS / requests,
    1_000 * gateways / requestsPerSecond,
  );
}
