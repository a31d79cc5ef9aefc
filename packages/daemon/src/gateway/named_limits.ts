import { create } from "@bufbuild/protobuf";
import type { AnswerFacts } from "@teaselrouter/core/gateway/answer_facts.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import { LimitPart } from "@teaselrouter/core/named_limits/limit_part.ts";
import type { NamedLimit } from "@teaselrouter/core/named_limits/named_limit.ts";
import { DueNews } from "@teaselrouter/core/news/due_news.ts";
import {
  type LimitNews,
  LimitNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import type { Observable } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { decodeLimit } from "../transport/decode_limit.ts";
import { encodeLimit } from "../transport/encode_limit.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Several times in what others take to grow into what this host left. */
const TELL_MILLISECONDS = 250;
/** A part falls for who is silent for twice as long. */
const REST_MILLISECONDS = 1_000;
/** Told to each control host that is followed: 3 KB. */
const MOST_DEMANDS_PER_SECOND = 40;
/** An end of a limit is told for so long, should news of it be lost. */
const END_MILLISECONDS = 3_000;
/** An end of a limit is remembered against news that come late. */
const FORGET_MILLISECONDS = 60_000;

type Known = { limit: NamedLimit; part: LimitPart | undefined };

type Options = {
  host: string;
  backends$: Observable<BackendStanding[]>;
  news$: Observable<LimitNews>;
  tell: (news: LimitNews) => void;
  log: EventLog;
  random: () => number;
};

/** Keeps this host's part of what backend servers in need say they take. */
export class NamedLimits {
  #options: Options;
  /** By start of a backend server. */
  #known = new Map<string, Known>();
  #due = new DueNews({
    restMilliseconds: REST_MILLISECONDS,
    mostPerSecond: MOST_DEMANDS_PER_SECOND,
  });
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    options.backends$.subscribe((changed) => this.#dropEnded(changed));
    options.news$.subscribe((news) => this.#learn(news));
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** An answer came from there. */
  hear(standing: BackendStanding, facts: AnswerFacts): void {
    const { limitPerSecond: perSecond, isSigned } = facts;
    const incarnation = incarnationOf(standing);
    const names = perSecond !== undefined;
    if (!names && !(isSigned && this.#known.has(incarnation))) return;
    const saidAt = monotonicMilliseconds();
    this.#note({ incarnation, perSecond, saidAt }, "heard");
  }

  /** Whether it names a limit now. */
  isLimited(standing: BackendStanding): boolean {
    return this.#partOf(standing) !== undefined;
  }

  /** Whether one request that would best go there is sent there. */
  admits(standing: BackendStanding): boolean {
    const part = this.#partOf(standing);
    if (part === undefined) return true;
    const now = monotonicMilliseconds();
    part.want(now);
    return part.admits(now);
  }

  /** Whether a request could be sent there now. */
  mayAdmit(standing: BackendStanding): boolean {
    return this.#partOf(standing)?.hasRoom(monotonicMilliseconds()) ?? true;
  }

  /** A request is sent there. */
  take(standing: BackendStanding): void {
    this.#partOf(standing)?.take(monotonicMilliseconds());
  }

  /** When there is room next, from now, milliseconds. */
  untilRoom(standing: BackendStanding): number {
    return this.#partOf(standing)?.untilRoom(monotonicMilliseconds()) ?? 0;
  }

  /** A request was kept off it, and went to another or nowhere. */
  notePassedOver(
    id: string,
    standing: BackendStanding,
    to: BackendStanding | undefined,
  ): void {
    const part = this.#partOf(standing);
    if (part === undefined) return;
    const now = monotonicMilliseconds();
    const { toldAt } = part;
    this.#options.log.info("limited-server-passed-over", {
      id,
      instance: standing.instance,
      per_second: part.perSecond,
      part: part.part(now).toFixed(3),
      told_milliseconds_ago: toldAt === undefined
        ? "never"
        : Math.round(now - toldAt),
      to: to?.instance ?? "none",
    });
  }

  #partOf(standing: BackendStanding): LimitPart | undefined {
    if (this.#known.size === 0) return undefined;
    return this.#known.get(incarnationOf(standing))?.part;
  }

  #learn({ parts }: LimitNews): void {
    const now = monotonicMilliseconds();
    for (const told of parts) {
      const limit = decodeLimit(told, now);
      const isKnown = this.#known.has(limit.incarnation);
      if (limit.perSecond !== undefined || isKnown) this.#note(limit, "told");
      this.#known.get(limit.incarnation)?.part?.tell(told.part, now);
    }
  }

  /** Takes in what a backend server said, if nothing later is known. */
  #note(limit: NamedLimit, how: "heard" | "told"): void {
    const { incarnation, perSecond, saidAt } = limit;
    const known = this.#known.get(incarnation);
    if (known !== undefined && known.limit.saidAt >= saidAt) return;
    const isChange = known?.limit.perSecond !== perSecond;
    const part = perSecond === undefined ? undefined : known?.part ??
      new LimitPart(
        perSecond,
        monotonicMilliseconds(),
        this.#options.random,
      );
    if (part !== undefined) part.perSecond = perSecond!;
    this.#known.set(incarnation, { limit, part });
    if (!isChange) return;
    this.#options.log.info("limit-named", {
      incarnation,
      per_second: perSecond ?? "any",
      how,
    });
    this.#tell();
    this.#timer ??= setInterval(() => this.#tell(), TELL_MILLISECONDS);
  }

  /** With nothing to tell any more, it falls silent. */
  #tell(): void {
    const now = monotonicMilliseconds();
    for (const [incarnation, { limit, part }] of [...this.#known]) {
      const isOver = part === undefined &&
        now - limit.saidAt > FORGET_MILLISECONDS;
      if (isOver) this.#known.delete(incarnation);
    }
    if (this.#known.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    const wanted = [...this.#known]
      .filter(([, { limit, part }]) =>
        part !== undefined || now - limit.saidAt < END_MILLISECONDS
      )
      .map(([incarnation, { limit, part }]) => ({
        key: `${incarnation} ${limit.perSecond ?? "any"}`,
        value: part?.wantedPerSecond(now) ?? 0,
        limit,
      }));
    const demands = this.#due.select(wanted, now)
      .map(({ limit, value }) => ({
        ...encodeLimit(limit, now),
        host: this.#options.host,
        wantedPerSecond: value,
      }));
    if (demands.length === 0) return;
    this.#options.tell(create(LimitNewsSchema, { demands }));
  }

  /** A limit ends with the start that named it. */
  #dropEnded(changed: BackendStanding[]): void {
    if (this.#known.size === 0) return;
    for (const standing of changed) {
      const live = incarnationOf(standing);
      for (const incarnation of [...this.#known.keys()]) {
        const isSame = incarnation.startsWith(`${standing.instance}@`);
        const hasEnded = standing.state === "gone" || incarnation !== live;
        if (isSame && hasEnded) this.#known.delete(incarnation);
      }
    }
  }
}

function incarnationOf({ instance, bornAt }: BackendStanding): string {
  return `${instance}@${bornAt}`;
}
