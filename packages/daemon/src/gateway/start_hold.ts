import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * Longest that a request is held. Clients give a silent stream up after 2.4 s:
 * what is left has to do for the engine's queue and the prompt.
 */
const HOLD_MILLISECONDS = 1_500;
/**
 * After the first configuration is known: backend servers announce themselves
 * every 1.2 s, to control hosts that may have lost all they were told.
 */
const SETTLE_MILLISECONDS = 1_500;
/** News come in dozens; those held look at them together. */
const GATHER_MILLISECONDS = 50;
/** What a host takes in within the hold at several times its usual load. */
const MOST_HELD = 512;

type Options = {
  /** When the first configuration was known; undefined before. */
  configuredAt: () => number | undefined;
  isStopping: () => boolean;
};

/**
 * Holds requests that reach a gateway just after its start, until it knows
 * what to do with them. Behind an outage of a whole system the gateways are up
 * a second or two ahead of the control hosts that tell them where requests go,
 * and clients ask only once or twice more: most of those refused then have
 * spent their last try, though they could be answered a second later.
 */
export class StartHold {
  #options: Options;
  #held = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Something was learned that may help those held. */
  noteNews(): void {
    if (this.#held.size === 0) return;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      for (const wake of [...this.#held]) wake();
    }, GATHER_MILLISECONDS);
  }

  /**
   * Waits for news; false at once when there is nothing to wait for, or when
   * the request has been held for long enough.
   *
   * @param since when the request came, monotonic milliseconds.
   */
  async wait(since: number): Promise<boolean> {
    const left = since + HOLD_MILLISECONDS - monotonicMilliseconds();
    if (left <= 0 || !this.#mayHold()) return false;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => wake(), left);
      const wake = () => {
        clearTimeout(timer);
        this.#held.delete(wake);
        resolve();
      };
      this.#held.add(wake);
    });
    return true;
  }

  #mayHold(): boolean {
    const { configuredAt, isStopping } = this.#options;
    if (isStopping() || this.#held.size >= MOST_HELD) return false;
    const configured = configuredAt();
    return configured === undefined ||
      monotonicMilliseconds() - configured < SETTLE_MILLISECONDS;
  }
}
