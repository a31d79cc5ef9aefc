import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import type { LoadEstimate } from "../gateway/load_estimate.ts";
import type { SlotPressure } from "../gateway/slot_pressure.ts";
import type { DispatchDecision } from "./dispatch_decision.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { DispatchTerms } from "./dispatch_terms.ts";
import { placeRequest } from "./place_request.ts";

type Options = {
  terms: DispatchTerms;
  /** Of the request's service. */
  pressure: SlotPressure;
  /** Backend servers that may get the request now. */
  listUsable: () => BackendCandidate[];
  /**
   * Best of the candidates, whose limits then count the request; undefined if
   * there is none or their limits are used up.
   */
  choose: (
    usable: BackendCandidate[],
    load: LoadEstimate,
  ) => BackendCandidate | undefined;
  /** Spends one retry; false if the request may not be sent again. */
  trySpendRetry: () => boolean;
  /** Whether its service has a server in a region where it may be served. */
  hasAllowedPlace?: () => boolean;
};

/**
 * Decides whether a request is sent now, and where, or is refused, given what
 * this host believes of its backend servers. The terms say where it may go, how
 * soon it would be answered there and whose the room is. "no-server" leaves it
 * to the caller whether the request waits for one.
 */
export function decideDispatch(
  request: DispatchRequest,
  options: Options,
): DispatchDecision {
  const { terms, listUsable, choose, trySpendRetry, hasAllowedPlace } = options;
  if (isArrival(request)) terms.room.recordArrival(request);
  const usable = listUsable();
  const candidate = choose(usable, terms.room.loadEstimate(request.service));
  if (candidate === undefined) {
    return hasAllowedPlace?.() ?? true
      ? { kind: "no-server" }
      : refuse("no-allowed-place");
  }
  if (request.previousSends > 0 && !trySpendRetry()) {
    return refuse("no-retry-left");
  }
  const placement = placeRequest(candidate, request, options);
  const verdict = terms.room.decide(request, { candidate, placement, usable });
  return verdict.kind === "admit"
    ? { kind: "send", candidate, placement: verdict.placement }
    : verdict;
}

/** Whether this is the first decision on an attempt of a client. */
function isArrival(
  { isDecidedAgain, previousSends, hasBegun }: DispatchRequest,
): boolean {
  return !isDecidedAgain && previousSends === 0 && !hasBegun;
}

function refuse(
  reason: "no-retry-left" | "no-allowed-place",
): DispatchDecision {
  return {
    kind: "refuse",
    reason,
    retryAfterMilliseconds: undefined,
    placement: undefined,
  };
}
