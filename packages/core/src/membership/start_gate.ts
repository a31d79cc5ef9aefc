/**
 * Long enough for several elections. The gate then opens even without a leader,
 * because such a host still forwards what backend servers announce to it.
 */
const MAX_CLOSED_MILLISECONDS = 1_500;

type Options = {
  /** Monotonic milliseconds. */
  startedAt: number;
  /**
   * Whether this host knows a leader and has applied everything that was
   * committed before that leader's term.
   */
  isCurrent: () => boolean;
  /** IP addresses of the known control hosts. */
  controlIps: () => string[];
};

/**
 * Decides which processes may connect to a control host that has just started.
 *
 * After an outage of a whole system, every gateway and stager connects to the
 * control hosts while these elect a leader. Each stream costs some milliseconds
 * on a small share of a core, and carries no information until there is a
 * leader. Streams accepted before that delay the election that all of these
 * processes wait for.
 */
export class StartGate {
  #options: Options;
  #isOpen = false;

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Whether a process at this IP address may connect now: other control hosts
   * always, all others once the gate is open. `now` is in monotonic
   * milliseconds.
   */
  admits(ip: string, now: number): boolean {
    const { startedAt, isCurrent, controlIps } = this.#options;
    this.#isOpen ||= isCurrent() || now - startedAt > MAX_CLOSED_MILLISECONDS;
    return this.#isOpen || controlIps().includes(ip);
  }
}
