import { weightsMargins } from "./weights_margins.ts";

/**
 * Returns the time from which gateways send no requests to superseded weights,
 * in milliseconds. From then on, waiting for a load permit keeps no requests
 * served and only leaves the engine idle. The time counts from when the first
 * version after the one being served was named. That need not be the version to
 * load, and may have been long before that one was named, as when the weight
 * store was down or a later version was named meanwhile.
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
