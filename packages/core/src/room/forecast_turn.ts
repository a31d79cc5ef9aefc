import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import type { EngineDefinition } from "../gateway/engine_definition.ts";
import type { FirstEventForecast } from "../gateway/first_event_forecast.ts";
import type { RankCounts } from "./rank_counts.ts";

type Options = {
  candidate: BackendCandidate;
  engine: EngineDefinition;
  promptTokens: number;
  /** By arrival, without regard to ranks. */
  forecast: FirstEventForecast;
  rank: number;
  /** This host's waiting requests at the backend server. */
  here: RankCounts;
  /** Mean number of this host's that wait at all of the service's. */
  meanWaiting: RankCounts;
  /** Mean number of this host's, those that are answered included. */
  meanInFlight: number;
  /**
   * Share of the slots that requests of lower ranks, which go first, are
   * expected to take while the request waits, 0 to 1.
   */
  takenBefore: number;
};

/**
 * Slots that are left to any rank in the calculation: a wait of twenty times
 * the usual one is over any patience.
 */
const MIN_SHARE_LEFT = 0.05;
/** Less than one request at a time is enough for a mix. */
const MIN_IN_FLIGHT = 0.1;

/**
 * Forecasts a request's first event where the queue is served by rank. It waits
 * behind requests of its own and lower ranks, and behind those of lower ranks
 * that arrive meanwhile. Requests of higher ranks that wait delay neither its
 * slot nor the reading of its prompt.
 */
export function forecastTurn(options: Options): FirstEventForecast {
  const { candidate, engine, promptTokens, forecast, rank } = options;
  const { here, meanWaiting, takenBefore } = options;
  const { record, announcement } = candidate;
  const slots = Math.max(1, announcement.slots);
  const { requests } = forecast;
  const waiting = Math.max(0, requests - slots);
  // Other hosts' requests are assumed to resemble this host's.
  const others = Math.max(0, requests - record.inFlight) /
    Math.max(MIN_IN_FLIGHT, options.meanInFlight);
  const behind = here.requestsBehind(rank) +
    others * meanWaiting.requestsBehind(rank);
  const upTo = here.requestsUpTo(rank) +
    others * meanWaiting.requestsUpTo(rank);
  const ahead = Math.min(upTo, Math.max(0, waiting - behind));
  // 0 with a free slot, 1 with none.
  const fullness = Math.min(1, Math.max(0, requests + 1 - slots));
  const slotWaitMilliseconds = (ahead + fullness) *
    record.slotHoldMilliseconds / slots /
    Math.max(MIN_SHARE_LEFT, 1 - takenBefore);
  const millisecondsPerToken = engine.readTokensPerSecond === 0
    ? 0
    : 1_000 / engine.readTokensPerSecond;
  const waitingBehind = Math.min(behind, waiting - ahead);
  const tokensBehind = behind === 0 ? 0 : waitingBehind / behind *
    (here.promptTokensBehind(rank) +
      others * meanWaiting.promptTokensBehind(rank));
  const prefillMilliseconds = Math.max(
    Math.min(
      forecast.prefillMilliseconds,
      promptTokens * millisecondsPerToken,
    ),
    forecast.prefillMilliseconds - tokensBehind * millisecondsPerToken,
  );
  return {
    milliseconds: forecast.milliseconds - forecast.slotWaitMilliseconds -
      forecast.prefillMilliseconds + slotWaitMilliseconds +
      prefillMilliseconds,
    slotWaitMilliseconds,
    prefillMilliseconds,
    requests,
  };
}
