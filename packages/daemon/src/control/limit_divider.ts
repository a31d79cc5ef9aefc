import { create } from "@bufbuild/protobuf";
import { LimitDivision } from "@teaselrouter/core/named_limits/limit_division.ts";
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

  /** The parts of one follower; undefined while no limit is named. */
  partsOf(host: string): LimitNews | undefined {
    if (this.#division.isEmpty) return undefined;
    const now = monotonicMilliseconds();
    const parts = this.#division.partsOf(host, now)
      .map(({ limit, part }) => ({ ...encodeLimit(limit, now), part }));
    return create(LimitNewsSchema, { parts });
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
