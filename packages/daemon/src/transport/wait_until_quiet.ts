import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import { nextTurn } from "./next_turn.ts";
import { sleep } from "./sleep.ts";

const POLL_MILLISECONDS = 50;
/** Longer than a request needs to arrive from a client in another region. */
const QUIET_MILLISECONDS = 500;

type Options = {
  /** When the latest request arrived, monotonic milliseconds. */
  lastRequestAt: () => number;
  /** Some clients never pause. */
  maxMilliseconds: number;
};

/**
 * Waits until no request has arrived for 500 ms, counted from the call at the
 * earliest: until then, a connection that is idle, or was just accepted, may
 * have one on its way.
 */
export async function waitUntilQuiet(options: Options): Promise<void> {
  const startedAt = monotonicMilliseconds();
  while (true) {
    const now = monotonicMilliseconds();
    // What had arrived by now is read first: this process may have stood still.
    await nextTurn();
    const quietSince = Math.max(startedAt, options.lastRequestAt());
    if (now - quietSince >= QUIET_MILLISECONDS) return;
    if (now - startedAt >= options.maxMilliseconds) return;
    await sleep(POLL_MILLISECONDS);
  }
}
