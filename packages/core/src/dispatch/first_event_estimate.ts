import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import type { EngineDefinition } from "../gateway/engine_definition.ts";
import type { FirstEventForecast } from "../gateway/first_event_forecast.ts";
import type { DispatchRequest } from "./dispatch_request.ts";

/** Estimates when a backend server would send a request's first event. */
export interface FirstEventEstimate {
  forecast(
    candidate: BackendCandidate,
    engine: EngineDefinition,
    request: DispatchRequest,
  ): FirstEventForecast;
}
