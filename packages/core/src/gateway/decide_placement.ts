import type { BackendChoice } from "./backend_choice.ts";
import type { EngineDefinition } from "./engine_definition.ts";
import { forecastFirstEvent } from "./forecast_first_event.ts";
import type { Placement } from "./placement.ts";

type Request = {
  engine: EngineDefinition;
  promptTokens: number;
  /** What is left until its first event has lost its full worth, ms. */
  targetLeftMilliseconds: number;
  /** Part of the requests in time that found no free slot lately, 0 to 1. */
  slotPressure: number;
  now: number;
};

/**
 * Late requests that may wait at one engine while none that is in time does.
 * At 16 slots and 1.3 s an answer a place gets free every 80 ms, of which
 * those in time take about three in four: the last of eight gets its turn
 * within the 2.4 s after which clients give a silent stream up.
 */
const MOST_LATE_WAITING = 8;

/**
 * Whether a request can still be in time at the engine chosen for it.
 *
 * Pattern: behind an outage, or at a peak above what the engines carry, more
 * waits than can be in time. Served in the order of arrival, every request
 * waits as long as the whole queue, and all are late until the queue is gone,
 * also those that come when the engines could carry them again. Those that
 * can be in time therefore go first, and the others take what is left over:
 * a free slot, and the fewer places in the queue the more often those in time
 * have to wait themselves. With the same number of places always, those late
 * get a slot in every short pause of a lasting peak, and each of these is then
 * missing for one that could have been in time.
 */
export function decidePlacement(
  choice: BackendChoice,
  request: Request,
): Placement {
  const { standing, record } = choice;
  const { engine, promptTokens, now } = request;
  const slots = Math.max(1, standing.slots);
  const forecast = forecastFirstEvent({
    record,
    engine,
    slots,
    promptTokens,
    now,
  });
  const common = { forecast, placedAt: now };
  const isTimely = forecast.milliseconds <= request.targetLeftMilliseconds;
  if (isTimely) return { kind: "timely", ...common };
  const waiting = forecast.requests - slots;
  const places = MOST_LATE_WAITING * (1 - request.slotPressure);
  const kind = waiting < 0 || waiting + 1 <= places ? "late" : "refused";
  return { kind, ...common };
}
