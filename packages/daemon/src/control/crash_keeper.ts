import type { CrashRow } from "@teaselrouter/core/crashes/crash_row.ts";
import { NewsRateLimiter } from "@teaselrouter/core/news/news_rate_limiter.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const CHECK_INTERVAL_MILLISECONDS = 50;
/** Bounds the commits, of some 600 bytes each. */
const MAX_CRASHES_PER_SECOND = 10;

type Options = {
  isLeading: () => boolean;
  /** Rows of which the replicated state lacks something. */
  listUnkept: () => CrashRow[];
  propose: (row: CrashRow) => void;
  /** Whether a row for the crash is being proposed. */
  isProposed: (incarnation: string) => boolean;
};

/**
 * Has the log keep what is known of crashes. Only the leader proposes, as all
 * control hosts hear of all crashes; a new leader goes on with what is missing.
 */
export class CrashKeeper {
  #options: Options;
  #budget = new NewsRateLimiter(MAX_CRASHES_PER_SECOND);
  #timer = setInterval(() => this.#check(), CHECK_INTERVAL_MILLISECONDS);

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const { isLeading, listUnkept, propose, isProposed } = this.#options;
    if (!isLeading()) return;
    const now = monotonicMilliseconds();
    for (const row of listUnkept()) {
      if (isProposed(row.incarnation)) continue;
      if (this.#budget.take(1, now) === 0) return;
      propose(row);
    }
  }
}
