import type { BackendRecord } from "./backend_record.ts";
import type { EngineDefinition } from "./engine_definition.ts";
import type { FirstEventForecast } from "./first_event_forecast.ts";

/** Network time to and from the engine, and time to start the request. */
const BASE_LATENCY_MILLISECONDS = 40;
/**
 * Passes before the first event: the request's own, and on average half of the
 * one that is running when the request arrives. A pass is the `stepsPerPass`
 * decoding steps between two checks of the queue.
 */
const EXPECTED_PASSES = 1.5;

type Request = {
  record: BackendRecord;
  engine: EngineDefinition;
  slots: number;
  promptTokens: number;
  now: number;
};

/**
 * Forecasts when an engine would send the first event of a timely request,
 * which goes ahead of late ones. The request waits for a slot behind the timely
 * requests that are waiting for one, and until pending prompts and its own have
 * been prefilled.
 *
 * Only requests without a slot count as waiting. Near capacity a few requests
 * wait at each engine. If all requests without a response were counted, also
 * those that have a slot and are being prefilled, the wait would look twice as
 * long as it is, and requests would be refused that could meet their target
 * time.
 */
export function forecastFirstEvent(request: Request): FirstEventForecast {
  const { record, engine, slots, promptTokens, now } = request;
  const requests = record.estimateRequests(now);
  // Only the number of other hosts' requests is known. They are assumed to
  // resemble this host's requests to all backend servers of the service.
  const otherRequests = requests - record.inFlight;
  const timelyUnanswered = record.timelyUnanswered +
    otherRequests * record.timelyUnansweredShare;
  const waiting = Math.max(0, requests - slots);
  const timelyAhead = Math.min(timelyUnanswered, waiting);
  const tokensToPrefill = record.pendingPromptTokens +
    otherRequests * record.meanPendingPromptTokens +
    promptTokens;
  const slowdown = record.estimateSlowdown(engine, now);
  const prefillMilliseconds = engine.readTokensPerSecond === 0
    ? 0
    : slowdown * (tokensToPrefill / engine.readTokensPerSecond * 1_000);
  const slotWaitMilliseconds = timelyAhead * record.slotHoldMilliseconds /
    Math.max(1, slots);
  const passMilliseconds = slowdown * engine.stepMilliseconds *
    engine.stepsPerPass;
  return {
    milliseconds: BASE_LATENCY_MILLISECONDS +
      EXPECTED_PASSES * passMilliseconds + prefillMilliseconds +
      slotWaitMilliseconds,
    slotWaitMilliseconds,
    prefillMilliseconds,
    requests,
  };
}
