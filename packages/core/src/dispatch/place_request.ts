import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import { placeByForecast } from "../gateway/place_by_forecast.ts";
import type { Placement } from "../gateway/placement.ts";
import type { SlotPressure } from "../gateway/slot_pressure.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { DispatchTerms } from "./dispatch_terms.ts";

type Options = {
  terms: Pick<DispatchTerms, "firstEvent">;
  /** Of the request's service. */
  pressure: SlotPressure;
};

/**
 * Whether the request would be timely on the backend server chosen for it, and
 * records how full that is. Always "timely" for services without an engine, and
 * for an answer that has begun: its client is waiting for the rest.
 */
export function placeRequest(
  candidate: BackendCandidate,
  request: DispatchRequest,
  { terms, pressure }: Options,
): Placement {
  const { engine, now } = request;
  if (engine === undefined || request.hasBegun) {
    return { kind: "timely", forecast: undefined, decidedAt: now };
  }
  const forecast = terms.firstEvent.forecast(candidate, engine, request);
  const placement = placeByForecast({
    forecast,
    slots: Math.max(1, candidate.announcement.slots),
    targetLeftMilliseconds: request.targetLeftMilliseconds,
    slotPressure: pressure.share,
    now,
  });
  if (request.isFirstTry) {
    pressure.recordRequest(forecast.requests >= candidate.announcement.slots);
  }
  // After a failed attempt the request may have run: a refusal could not
  // promise the client that it has not, and would lose an answer that the
  // client has waited for.
  return placement.kind === "refused" && request.previousSends > 0
    ? { ...placement, kind: "late" }
    : placement;
}
