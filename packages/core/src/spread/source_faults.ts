const ORIGIN = "";
/**
 * The longest time for which a host avoids the origin after a failed fetch.
 * There is only one origin, so a host retries it sooner than a failed peer,
 * which other peers can replace.
 */
const ORIGIN_AVOIDANCE_MILLISECONDS = 300;
/** Hosts that must report a failure before all hosts avoid the source. */
const REPORTERS_TO_QUARANTINE = 2;

type FailureReports = { hosts: Set<string>; until: number };

/**
 * Records sources whose chunk transfers stalled, were refused or delivered
 * damaged chunks. A failure at one host may be caused by that host's own link,
 * so only that host avoids the source. Once a second host reports a failure,
 * the source is quarantined for all hosts; otherwise each of them would wait
 * for its own timeout, one after the other.
 */
export class SourceFaults {
  #reportsBySource = new Map<string, FailureReports>();

  record(
    host: string,
    source: string,
    times: { now: number; until: number },
  ): void {
    const until = source === ORIGIN
      ? Math.min(times.until, times.now + ORIGIN_AVOIDANCE_MILLISECONDS)
      : times.until;
    const reports = this.#reportsBySource.get(source) ??
      { hosts: new Set(), until: 0 };
    reports.hosts.add(host);
    reports.until = Math.max(reports.until, until);
    this.#reportsBySource.set(source, reports);
  }

  isAvoided(host: string, source: string, now: number): boolean {
    const reports = this.#reportsBySource.get(source);
    if (reports === undefined) return false;
    if (reports.until <= now) {
      this.#reportsBySource.delete(source);
      return false;
    }
    // The origin is never quarantined, since there is only one: a host avoids
    // it only after a failure of its own.
    const isQuarantined = source !== ORIGIN &&
      reports.hosts.size >= REPORTERS_TO_QUARANTINE;
    return isQuarantined || reports.hosts.has(host);
  }
}
