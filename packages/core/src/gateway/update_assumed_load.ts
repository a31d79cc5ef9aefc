import type { BackendChoice } from "./backend_choice.ts";

/**
 * What is not heard of is taken to be a little emptier than the rest: it gets
 * a request now and then, whose answer tells. Taken for just as full it would
 * never get one, and a host that knows only full engines would refuse what
 * others have room for.
 */
const UNHEARD_SHARE = 0.9;

/**
 * Tells the records of a service's backend servers how full these are on
 * average, each weighed by how much its last report still says, and what of
 * this host's requests under way has not been read or answered yet.
 *
 * Pattern: an engine that got nothing from this host for a second, since all
 * others looked emptier, says nothing either. Taken for empty it gets the next
 * requests of every host, behind all that the others have sent there.
 */
export function noteUsualLoad(choices: BackendChoice[], now: number): void {
  const sums = { trusted: 0, filled: 0, inFlight: 0, tokens: 0, timely: 0 };
  for (const { standing, record } of choices) {
    const trust = record.reportTrust(now);
    sums.trusted += trust * standing.slots;
    sums.filled += trust * record.reportedRequests;
    sums.inFlight += record.inFlight;
    sums.tokens += record.unreadTokens;
    sums.timely += record.timelyUnread;
  }
  const fullness = sums.trusted === 0 ? 0 : sums.filled / sums.trusted;
  const requests = Math.max(1, sums.inFlight);
  for (const { standing, record } of choices) {
    record.usualRequests = UNHEARD_SHARE * fullness * standing.slots;
    record.usualUnreadTokens = sums.tokens / requests;
    record.usualTimelyUnread = sums.timely / requests;
  }
}
