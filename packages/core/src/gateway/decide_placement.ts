import type { BackendCandidate } from "./backend_candidate.ts";
import type { EngineDefinition } from "./engine_definition.ts";
import { forecastFirstEvent } from "./forecast_first_event.ts";
import { placeByForecast } from "./place_by_forecast.ts";
import type { Placement } from "./placement.ts";

type Request = {
  engine: EngineDefinition;
  promptTokens: number;
  /**
   * Time left until the target time for the request's first event,
   * milliseconds; negative once the target time has passed.
   */
  targetLeftMilliseconds: number;
  /**
   * Share of recent requests, not counting clients' retries, that found no free
   * slot at the engine chosen for them, 0 to 1; see `SlotPressure`.
   */
  slotPressure: number;
  now: number;
};

/**
 * Decides whether a request is timely, late or refused at the engine chosen
 * for it, by a forecast from the number of requests there.
 */
export function decidePlacement(
  candidate: BackendCandidate,
  request: Request,
): Placement {
  const { announcement, record } = candidate;
  const { engine, promptTokens, targetLeftMilliseconds, slotPressure, now } =
    request;
  const slots = Math.max(1, announcement.slots);
  const forecast = forecastFirstEvent({
    record,
    engine,
    slots,
    promptTokens,
    now,
  });
  return placeByForecast({
    forecast,
    slots,
    targetLeftMilliseconds,
    slotPressure,
    now,
  });
}
