/**
 * Several elections. A host that hears no leader for longer still passes on
 * what backend servers say to it.
 */
const CLOSED_MILLISECONDS = 1_500;

type Options = {
  /** Monotonic milliseconds. */
  startedAt: number;
  /** Whether this host has anything to tell that is known to be current. */
  isCurrent: () => boolean;
  /** IP addresses of the control hosts that are known. */
  controlIps: () => string[];
};

/**
 * Who may connect to a control host that has just started.
 *
 * Pattern: behind an outage of a whole system every gateway and stager turns
 * to the control hosts while these elect a leader. Each stream costs some
 * milliseconds on a small share of a core, and nothing can be told on it
 * before there is a leader: taken in first, they hold up the election that
 * all of them wait for.
 */
export class StartGate {
  #options: Options;
  #isOpen = false;

  constructor(options: Options) {
    this.#options = options;
  }

  admits(ip: string, now: number): boolean {
    const { startedAt, isCurrent, controlIps } = this.#options;
    this.#isOpen ||= isCurrent() || now - startedAt > CLOSED_MILLISECONDS;
    return this.#isOpen || controlIps().includes(ip);
  }
}
