const ORIGIN = "";
/**
 * There is only one origin: a host that could not draw from it tries again
 * soon, where it would leave a peer's faults to others for longer.
 */
const ORIGIN_AVOIDED_MILLISECONDS = 300;
/** Hosts that complain before a source is put aside for all. */
const COMPLAINTS_TO_PUT_ASIDE = 2;

type Complaints = { hosts: Set<string>; until: number };

/**
 * Sources whose chunks failed: stalled, damaged or refused. One host's
 * failure may be its own link's; when a second host complains, the source is
 * put aside for all, or each would wait for its own timeout in turn.
 */
export class SourceFaults {
  #bySource = new Map<string, Complaints>();

  record(
    host: string,
    source: string,
    times: { now: number; until: number },
  ): void {
    const until = source === ORIGIN
      ? Math.min(times.until, times.now + ORIGIN_AVOIDED_MILLISECONDS)
      : times.until;
    const complaints = this.#bySource.get(source) ??
      { hosts: new Set(), until: 0 };
    complaints.hosts.add(host);
    complaints.until = Math.max(complaints.until, until);
    this.#bySource.set(source, complaints);
  }

  isAvoided(host: string, source: string, now: number): boolean {
    const complaints = this.#bySource.get(source);
    if (complaints === undefined) return false;
    if (complaints.until <= now) {
      this.#bySource.delete(source);
      return false;
    }
    // There is only one origin: each host finds out for itself.
    const byMany = source !== ORIGIN &&
      complaints.hosts.size >= COMPLAINTS_TO_PUT_ASIDE;
    return byMany || complaints.hosts.has(host);
  }
}
