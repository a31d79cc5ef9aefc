import { weightsMargins } from "./weights_margins.ts";

/**
 * Returns the time from which gateways send no requests to superseded weights,
 * in milliseconds. From then on, waiting for a load permit protects no traffic
 * and only leaves the engine idle. The version that superseded the weights may
 * have been named long before the one to load, while the weight store was down
 * or a later version was named.
 *
 * @param supersededAt when the next version was named, milliseconds.
 * @param boundMilliseconds how long after that requests may begin on the
 *   superseded weights.
 */
export function weightsUnusedAt(
  supersededAt: number,
  boundMilliseconds: number,
): number {
  const { namingDelayMilliseconds, requestStartMilliseconds } = weightsMargins;
  return supersededAt + boundMilliseconds - namingDelayMilliseconds -
    requestStartMilliseconds;
}
