import type { GoodEndNews } from "@teaselrouter/core/crashes/good_end_news.ts";
import { GoodEndRecorder } from "@teaselrouter/core/crashes/good_end_recorder.ts";
import type { PartWatch } from "@teaselrouter/core/crashes/part_watch.ts";
import { NewsRateLimiter } from "@teaselrouter/core/news/news_rate_limiter.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";

const CHECK_INTERVAL_MILLISECONDS = 50;
/** Amounts to 6 KB a second for each control host that is followed. */
const MAX_ENDS_PER_SECOND = 128;

type Options = {
  report: (news: GoodEndNews) => void;
  /** Called ahead of each telling, for what is to be recorded only then. */
  observe?: () => void;
};

/**
 * Tells of the answers that come to good ends, or run well, at this gateway while
 * prompt parts are suspected. See `GoodEndRecorder`.
 */
export class GoodEndWatch {
  #options: Options;
  #recorder = new GoodEndRecorder();
  #rateLimiter = new NewsRateLimiter(MAX_ENDS_PER_SECOND);
  /** How many more ends may be told before the limiter grants others. */
  #granted = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  watch(watches: readonly PartWatch[]): void {
    this.#recorder.watch(watches, monotonicMilliseconds());
    if (!this.#recorder.isWatching) return;
    this.#timer ??= setInterval(
      () => this.#check(),
      CHECK_INTERVAL_MILLISECONDS,
    );
  }

  /** See `GoodEndRecorder.tellAnew`. */
  tellAnew(): void {
    this.#recorder.tellAnew();
  }

  /**
   * To be called for each stream, and each answer on prompt parts, that has come to
   * a good end; `sentAt` is when its request was sent to the backend server,
   * monotonic milliseconds.
   */
  recordEnd({ metadata }: AdmittedCall, sentAt: number): void {
    const { sharedParts: parts } = metadata;
    const endedAt = monotonicMilliseconds();
    this.#recorder.record({ parts, sentAt, endedAt });
  }

  #check(): void {
    this.#options.observe?.();
    const now = monotonicMilliseconds();
    // All of a second's are granted at its beginning.
    this.#granted = this.#rateLimiter.take(MAX_ENDS_PER_SECOND, now) ||
      this.#granted;
    if (this.#granted === 0) return;
    const news = this.#recorder.takeNews(now, this.#granted);
    if (!this.#recorder.isWatching) this.stop();
    if (news === undefined) return;
    this.#granted -= news.ends.length;
    this.#options.report(news);
  }
}
