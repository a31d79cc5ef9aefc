import type { BackendRecord } from "./backend_record.ts";
import type { EngineDefinition } from "./engine_definition.ts";
import type { FirstEventForecast } from "./first_event_forecast.ts";

/** Ways to and from the engine, and what it takes to begin. */
const BEGIN_MILLISECONDS = 40;
/** Its own pass, and half of the one that runs when it comes. */
const PASSES = 1.5;

type Request = {
  record: BackendRecord;
  engine: EngineDefinition;
  slots: number;
  promptTokens: number;
  now: number;
};

/**
 * When an engine would send the first event of a request that goes ahead of
 * those that are late already: a slot has to get free behind those of its
 * kind that wait for one too, and their prompts and its own are read.
 *
 * Pattern: around what the engines carry, a few wait at each. Counted by all
 * that have not answered yet, also those that have a slot and are being read,
 * the wait looks twice as long as it is, and requests are refused that would
 * have been in time.
 */
export function forecastFirstEvent(request: Request): FirstEventForecast {
  const { record, engine, slots, promptTokens, now } = request;
  const requests = record.estimateRequests(now);
  // Of other hosts' requests only the number is known: they are taken to be
  // like this host's own at all of the service's backend servers.
  const others = requests - record.inFlight;
  const unanswered = record.timelyUnread + others * record.usualTimelyUnread;
  const waiting = Math.max(0, requests - slots);
  const ahead = Math.min(unanswered, waiting);
  const unread = record.unreadTokens + others * record.usualUnreadTokens +
    promptTokens;
  const readingMilliseconds = engine.readTokensPerSecond === 0
    ? 0
    : unread / engine.readTokensPerSecond * 1_000;
  const slotMilliseconds = ahead * record.holdMilliseconds /
    Math.max(1, slots);
  const pass = engine.stepMilliseconds * engine.stepsPerPass;
  return {
    milliseconds: BEGIN_MILLISECONDS + PASSES * pass + readingMilliseconds +
      slotMilliseconds,
    slotMilliseconds,
    readingMilliseconds,
    requests,
  };
}
