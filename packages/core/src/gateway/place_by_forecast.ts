import type { FirstEventForecast } from "./first_event_forecast.ts";
import type { Placement } from "./placement.ts";

type Request = {
  /** At the engine chosen for the request. */
  forecast: FirstEventForecast;
  /** Of that engine. */
  slots: number;
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
 * Late requests that may wait at one engine while no timely request has to.
 * With 16 slots and 1.3 s per response a slot becomes free every 80 ms, and
 * timely requests take about three in four of these slots. The last of eight
 * late requests then gets a slot within the 2.4 s after which clients abandon
 * a stream that has sent nothing.
 */
const MAX_LATE_WAITING = 8;

/**
 * Decides whether a request is timely, late or refused at the engine chosen
 * for it. It is timely if the forecast of its first event meets its target
 * time.
 *
 * After an outage, or at a peak above the engines' capacity, more requests wait
 * than can meet their target times. If all were served in order of arrival,
 * every request would wait for the whole queue, and all would be late until the
 * queue is empty, even those that arrive once capacity suffices again. Timely
 * requests therefore go first. Late ones get only spare capacity: a free slot,
 * or a position in a queue whose limit shrinks the more often requests find no
 * free slot. With a constant limit, late requests would get a slot in every
 * short pause of a lasting peak, and each of these slots would then be missing
 * for a request that could have met its target time.
 */
export function placeByForecast(request: Request): Placement {
  const { forecast, slots, slotPressure, now } = request;
  const common = { forecast, decidedAt: now };
  const isTimely = forecast.milliseconds <= request.targetLeftMilliseconds;
  if (isTimely) return { kind: "timely", ...common };
  const waiting = forecast.requests - slots;
  const lateWaitingLimit = MAX_LATE_WAITING * (1 - slotPressure);
  const kind = waiting < 0 || waiting + 1 <= lateWaitingLimit
    ? "late"
    : "refused";
  return { kind, ...common };
}
