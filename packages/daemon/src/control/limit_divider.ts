import { create } from "@bufbuild/protobuf";
import { LimitDivision } from "@teaselrouter/core/named_limits/limit_division.ts";
import { DueNewsSelector } from "@teaselrouter/core/news/due_news_selector.ts";
import {
  type LimitDemand,
  type LimitNews,
  LimitNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import { decodeLimit } from "../transport/decode_limit.ts";
import { encodeLimit } from "../transport/encode_limit.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { LatestValueBatcher } from "./latest_value_batcher.ts";

const DEMAND_BATCH_MILLISECONDS = 50;
/** A fraction of the 1 s after which a host uses a larger part. */
const CHANGE_BATCH_MILLISECONDS = 150;
/** Half of the 2 s without an update after which a host's part is stale. */
const REFRESH_MILLISECONDS = 1_000;
/** Bounds the updates to each follower to 3 KB/s. */
const MAX_PARTS_PER_SECOND = 55;
const EXPIRE_INTERVAL_MILLISECONDS = 10_000;

/**
 * Divides the limits that overloaded backend servers announced among the
 * gateways that send to them, in proportion to each gateway's demand.
 */
export class LimitDivider {
  /** Demands that gateways sent to this host, for other control hosts. */
  readonly localDemands$ = new Subject<LimitNews>();
  /** Emits when parts may have changed; each follower is then sent its own. */
  readonly changed$ = new Subject<void>();
  #division = new LimitDivision();
  #demandBatcher = new LatestValueBatcher<LimitDemand>({
    milliseconds: DEMAND_BATCH_MILLISECONDS,
    keyOf: ({ incarnation, host }) => `${incarnation} ${host}`,
  });
  #changeTimer: NodeJS.Timeout | undefined;
  #expireTimer: NodeJS.Timeout;

  constructor() {
    this.#demandBatcher.batches$.subscribe((demands) =>
      this.localDemands$.next(create(LimitNewsSchema, { demands }))
    );
    this.#expireTimer = setInterval(
      () => this.#division.expire(monotonicMilliseconds()),
      EXPIRE_INTERVAL_MILLISECONDS,
    );
  }

  stop(): void {
    this.#demandBatcher.stop();
    clearTimeout(this.#changeTimer);
    clearInterval(this.#expireTimer);
  }

  /** Adds demands of a gateway that follows this host. */
  addLocalNews(news: LimitNews): void {
    this.addRemoteNews(news);
    for (const demand of news.demands) this.#demandBatcher.add(demand);
  }

  /** Adds demands that another control host received. */
  addRemoteNews({ demands }: LimitNews): void {
    const now = monotonicMilliseconds();
    for (const demand of demands) {
      this.#division.recordLimit(decodeLimit(demand, now), now);
      const { incarnation, host, wantedPerSecond: perSecond } = demand;
      this.#division.recordDemand(incarnation, { host, perSecond }, now);
    }
    if (demands.length === 0) return;
    this.#changeTimer ??= setTimeout(() => {
      this.#changeTimer = undefined;
      this.changed$.next();
    }, CHANGE_BATCH_MILLISECONDS);
  }

  /** Selects a follower's parts to send now; undefined if there are none. */
  selectParts(host: string, selector: DueNewsSelector): LimitNews | undefined {
    if (this.#division.isEmpty) return undefined;
    const now = monotonicMilliseconds();
    const all = this.#division.computeParts(host, now).map((
      { limit, part },
    ) => ({
      key: `${limit.incarnation} ${limit.perSecond ?? "any"}`,
      value: part,
      limit,
    }));
    const parts = selector.select(all, now)
      .map(({ limit, value }) => ({ ...encodeLimit(limit, now), part: value }));
    return parts.length === 0 ? undefined : create(LimitNewsSchema, { parts });
  }

  /** Tracks what one follower was sent; initially nothing. */
  createUpdateSelector(): DueNewsSelector {
    return new DueNewsSelector({
      refreshMilliseconds: REFRESH_MILLISECONDS,
      maxPerSecond: MAX_PARTS_PER_SECOND,
    });
  }

  /** All known demands, for a newly connected control host. */
  currentDemands(): LimitNews | undefined {
    if (this.#division.isEmpty) return undefined;
    const now = monotonicMilliseconds();
    const demands = this.#division.listDemands(now)
      .map(({ limit, host, perSecond }) => ({
        ...encodeLimit(limit, now),
        host,
        wantedPerSecond: perSecond,
      }));
    return create(LimitNewsSchema, { demands });
  }
}
