import { create } from "@bufbuild/protobuf";
import { LimitDivision } from "@teaselrouter/core/named_limits/limit_division.ts";
import { DueNews } from "@teaselrouter/core/news/due_news.ts";
import {
  type LimitDemand,
  type LimitNews,
  LimitNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import { decodeLimit } from "../transport/decode_limit.ts";
import { encodeLimit } from "../transport/encode_limit.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { LatestGatherer } from "./latest_gatherer.ts";

const GATHER_HEARD_MILLISECONDS = 50;
/** A fraction of the time in which hosts that are told let a part grow. */
const GATHER_PARTS_MILLISECONDS = 150;
/** Half of what a host bears without news. */
const REST_MILLISECONDS = 1_000;
/** Told to each follower: 3 KB. */
const MOST_PARTS_PER_SECOND = 55;
const EXPIRE_MILLISECONDS = 10_000;

/** A control host's part in dividing what backend servers in need take. */
export class LimitDivider {
  /** What gateways told this very host, for other control hosts. */
  readonly heardHere$ = new Subject<LimitNews>();
  /** The parts may have changed; every follower is told its own. */
  readonly changed$ = new Subject<void>();
  #division = new LimitDivision();
  #heardSoon = new LatestGatherer<LimitDemand>({
    milliseconds: GATHER_HEARD_MILLISECONDS,
    keyOf: ({ incarnation, host }) => `${incarnation} ${host}`,
  });
  #changeTimer: NodeJS.Timeout | undefined;
  #expireTimer: NodeJS.Timeout;

  constructor() {
    this.#heardSoon.gathered$.subscribe((demands) =>
      this.heardHere$.next(create(LimitNewsSchema, { demands }))
    );
    this.#expireTimer = setInterval(
      () => this.#division.expire(monotonicMilliseconds()),
      EXPIRE_MILLISECONDS,
    );
  }

  stop(): void {
    this.#heardSoon.stop();
    clearTimeout(this.#changeTimer);
    clearInterval(this.#expireTimer);
  }

  /** What a gateway says. */
  hear(news: LimitNews): void {
    this.learn(news);
    for (const demand of news.demands) this.#heardSoon.add(demand);
  }

  /** What another control host says. */
  learn({ demands }: LimitNews): void {
    const now = monotonicMilliseconds();
    for (const demand of demands) {
      this.#division.name(decodeLimit(demand, now), now);
      const { incarnation, host, wantedPerSecond: perSecond } = demand;
      this.#division.want(incarnation, { host, perSecond }, now);
    }
    if (demands.length === 0) return;
    this.#changeTimer ??= setTimeout(() => {
      this.#changeTimer = undefined;
      this.changed$.next();
    }, GATHER_PARTS_MILLISECONDS);
  }

  /** One follower's parts that are to be told now; undefined for none. */
  partsOf(host: string, due: DueNews): LimitNews | undefined {
    if (this.#division.isEmpty) return undefined;
    const now = monotonicMilliseconds();
    const all = this.#division.partsOf(host, now).map(({ limit, part }) => ({
      key: `${limit.incarnation} ${limit.perSecond ?? "any"}`,
      value: part,
      limit,
    }));
    const parts = due.select(all, now)
      .map(({ limit, value }) => ({ ...encodeLimit(limit, now), part: value }));
    return parts.length === 0 ? undefined : create(LimitNewsSchema, { parts });
  }

  /** What one follower was told; it begins with nothing. */
  openDue(): DueNews {
    return new DueNews({
      restMilliseconds: REST_MILLISECONDS,
      mostPerSecond: MOST_PARTS_PER_SECOND,
    });
  }

  /** All that is known, for another control host that has just come. */
  standing(): LimitNews | undefined {
    if (this.#division.isEmpty) return undefined;
    const now = monotonicMilliseconds();
    const demands = this.#division.all(now)
      .map(({ limit, host, perSecond }) => ({
        ...encodeLimit(limit, now),
        host,
        wantedPerSecond: perSecond,
      }));
    return create(LimitNewsSchema, { demands });
  }
}
