/**
 * Live responses use the same link: with chunks filling all of it, response
 * events would queue for longer than clients tolerate.
 */
const SERVING_SHARE = 0.85;

type Engine = {
  /** Whether gateways may send it requests. */
  acceptsRequests: boolean;
  /** Requests that it processes or has queued. */
  requests: number;
};

/**
 * Returns the share of a host's link that chunk transfers may use. While its
 * engine has no requests and gets none, as when its weights are too old to be
 * used, no live response needs the rest.
 *
 * @param idleShare the share for an engine without requests.
 */
export function chunkLinkShare(engine: Engine, idleShare: number): number {
  const isServing = engine.acceptsRequests || engine.requests > 0;
  return isServing ? SERVING_SHARE : Math.max(SERVING_SHARE, idleShare);
}
