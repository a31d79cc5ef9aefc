import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import type { EngineDefinition } from "../gateway/engine_definition.ts";
import type { FirstEventForecast } from "../gateway/first_event_forecast.ts";
import { forecastFirstEvent } from "../gateway/forecast_first_event.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { FirstEventEstimate } from "./first_event_estimate.ts";

/** Counts the requests at a backend server and takes them to be alike. */
export class CountedFirstEventEstimate implements FirstEventEstimate {
  forecast(
    { announcement, record }: BackendCandidate,
    engine: EngineDefinition,
    { promptTokens, now }: DispatchRequest,
  ): FirstEventForecast {
    const slots = Math.max(1, announcement.slots);
    return forecastFirstEvent({ record, engine, slots, promptTokens, now });
  }
}
