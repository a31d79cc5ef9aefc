import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * Longest time that a request is held. Clients give up a silent stream after
 * 2.4 s: the rest has to suffice for the engine's queue and the prompt.
 */
const MAX_HOLD_MILLISECONDS = 1_500;
/**
 * Time after the first configuration in which requests are still held: backend
 * servers announce themselves every 1.2 s, to control hosts that may have lost
 * their state.
 */
const SETTLE_MILLISECONDS = 1_500;
/** Updates arrive in bursts of dozens; held requests are woken once a burst. */
const UPDATE_BATCH_MILLISECONDS = 50;
/**
 * Requests that a host receives within the hold at several times its usual
 * load.
 */
const MAX_HELD_REQUESTS = 512;

type Options = {
  /**
   * When the first configuration was received, monotonic milliseconds;
   * undefined before.
   */
  configuredAt: () => number | undefined;
  isStopping: () => boolean;
};

/**
 * Holds requests that reach a gateway just after its start, until it can route
 * them. After an outage of the whole system the gateways are up a second or two
 * before the control hosts that send them the routing, and clients try
 * only once or twice more: most of those refused then have used their last
 * attempt, though they could be answered a second later.
 */
export class StartHold {
  #options: Options;
  #held = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Wakes the held requests after 50 ms: an update has arrived that may let
   * them be routed.
   */
  wakeHeldRequests(): void {
    if (this.#held.size === 0) return;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      for (const wake of [...this.#held]) wake();
    }, UPDATE_BATCH_MILLISECONDS);
  }

  /**
   * Waits for an update, or until the request has been held for the longest
   * time. Returns false at once if the request may not be held any longer.
   *
   * @param arrivedAt when the request arrived, monotonic milliseconds.
   */
  async wait(arrivedAt: number): Promise<boolean> {
    const left = arrivedAt + MAX_HOLD_MILLISECONDS - monotonicMilliseconds();
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
    if (isStopping() || this.#held.size >= MAX_HELD_REQUESTS) return false;
    const configured = configuredAt();
    return configured === undefined ||
      monotonicMilliseconds() - configured < SETTLE_MILLISECONDS;
  }
}
