import { ColdServerGate } from "@teaselrouter/core/cold/cold_server_gate.ts";
import type { ColdRateDivision } from "@teaselrouter/core/cold/cold_rate_division.ts";
import { NewsWatch } from "@teaselrouter/core/cold/news_watch.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { Observable } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { Settings } from "../settings/settings.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ControlFeed } from "./control_feed.ts";

type Options = {
  host: string;
  bound: NonNullable<NonNullable<Settings["gateway"]>["cold_servers"]>;
  /** The gateways that share the rates. */
  division: ColdRateDivision;
  feed: ControlFeed;
  /** Emits backend servers whose process was found to have ended. */
  endedServers$: Observable<BackendAnnouncement>;
  /** Whether a control host is connected. */
  isConnected: () => boolean;
  log: EventLog;
  metrics: ProcessMetrics;
};

/**
 * Tells the gate for cold backend servers what this gateway learns of them.
 */
export class ColdServers {
  readonly gate: ColdServerGate;
  #options: Options;
  #news: NewsWatch;

  constructor(options: Options) {
    this.#options = options;
    const { host, bound, division, feed, endedServers$, log, metrics } =
      options;
    const startedAt = monotonicMilliseconds();
    this.#news = new NewsWatch(Date.now, startedAt);
    this.gate = new ColdServerGate({
      host,
      bound,
      division,
      coldStartOf: (service) => feed.table?.findService(service)?.coldStart,
      news: this.#news,
      timeOfDay: Date.now,
      startedAt,
      onBoundedSend: () => metrics.coldSends.inc(),
      onCold: ({ instance }, { evidence, milliseconds, interval }) =>
        log.info("backend-server-cold", {
          instance,
          how: evidence,
          milliseconds: Math.round(milliseconds),
          interval: interval === undefined ? "none" : Math.round(interval),
        }),
    });
    feed.backends$.subscribe((changed) => {
      const now = monotonicMilliseconds();
      for (const each of changed) this.gate.recordAnnouncement(each, now);
    });
    endedServers$.subscribe((announcement) =>
      this.gate.recordEnd(announcement, monotonicMilliseconds())
    );
  }

  /** To be called twice a second. */
  observe(): void {
    const now = monotonicMilliseconds();
    if (this.#options.isConnected()) this.#news.recordContact(now);
    this.gate.expire(now);
  }
}
