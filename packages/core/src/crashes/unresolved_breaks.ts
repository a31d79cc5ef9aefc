import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { incarnationOf } from "../membership/incarnation_of.ts";
import { isProcessEnd } from "./is_process_end.ts";
import type { BreakVerdict } from "./break_verdict.ts";
import type { ResolvedBreak } from "./resolved_break.ts";
import type { ServerBreak } from "./server_break.ts";
import type { ServerStart } from "./server_start.ts";
import { SIMULTANEOUS_MILLISECONDS } from "./simultaneous_milliseconds.ts";

/**
 * A busy host may take this long to read what arrived at the same moment, from
 * before an end as well as the closes that it brought.
 */
const READING_MILLISECONDS = 150;
/**
 * By then a backend server that ended is back and has been heard of, or known
 * to be gone.
 */
const MAX_WAIT_MILLISECONDS = 15_000;
/** Longer than the news of a start takes, two heartbeats and their way. */
const START_NEWS_MILLISECONDS = 3_000;
/** Longer than a host goes on sending to a backend server that has ended. */
const END_RETENTION_MILLISECONDS = 60_000;
/** Under a flood of breaks the oldest are given up. */
const MAX_BREAKS = 1_024;

type PendingBreak<Interrupted> = ServerBreak<Interrupted> & {
  /**
   * When the instance first answered a request that was sent after the break,
   * monotonic milliseconds. That may have been its next start.
   */
  answeredAt: number | undefined;
};

type BrokenRequest<Interrupted> = {
  announcement: BackendAnnouncement;
  interrupted: Interrupted;
  /** When it was sent to the backend server, monotonic milliseconds. */
  sentAt: number;
  now: number;
};

/**
 * Finds out which requests were broken off by the end of a backend server's
 * process, and which only by the end of their connections. Load pattern: a
 * request ends one process after the other, and each is back, under the same
 * address and at times the same name, before its port can be asked, or never
 * gives up the port.
 *
 * A port that accepts connections proves nothing. Only these do:
 * - a port that refuses or closes each connection, another instance's answer, or
 *   the news of a later start, which may come seconds later: the process ended;
 * - more of an answer to a request from before the break: it goes on.
 *
 * An answer to a later request shows that the instance runs, but not since when:
 * where its name is used again, news of a later start may still be on its way.
 *
 * Of several breaks of one start, its end is the first that nothing outlived:
 * what is broken off later was sent to a port without a process. Where the name
 * is used again, those between which the instance answered can't be told apart,
 * and all count.
 */
export class UnresolvedBreaks<Interrupted> {
  /** By incarnation, in the order of the breaks. */
  #breaks = new Map<string, PendingBreak<Interrupted>[]>();
  #size = 0;
  /** When starts of backend servers ended, by incarnation. */
  #endedAt = new Map<string, number>();

  get size(): number {
    return this.#size;
  }

  /** Whether nothing that is heard matters now. */
  get isIdle(): boolean {
    return this.#size === 0 && this.#endedAt.size === 0;
  }

  /**
   * Adds a request that a backend server broke off. Returns the break if it is a
   * new one, not the same as that of other requests, nor behind the end.
   */
  add(
    { announcement, interrupted, sentAt, now }: BrokenRequest<Interrupted>,
  ): ServerBreak<Interrupted> | undefined {
    const incarnation = incarnationOf(announcement);
    if (sentAt > (this.#endedAt.get(incarnation) ?? Infinity)) return undefined;
    const known = this.#breaks.get(incarnation) ?? [];
    const last = known.at(-1);
    const age = now - (last?.at ?? -Infinity);
    const isSame = age <= SIMULTANEOUS_MILLISECONDS ||
      age <= READING_MILLISECONDS && sentAt < last!.at;
    if (isSame) {
      last!.interrupted.push(interrupted);
      return undefined;
    }
    const added = {
      announcement,
      interrupted: [interrupted],
      at: now,
      answeredAt: undefined,
    };
    this.#breaks.set(incarnation, [...known, added]);
    this.#size += 1;
    return added;
  }

  /**
   * The port refused connections after a break. As the process had accepted the
   * connections that the break ended, it outlived earlier ones.
   */
  recordRefusal(
    { announcement, at }: ServerBreak<Interrupted>,
  ): ResolvedBreak<Interrupted>[] {
    return this.#resolve(incarnationOf(announcement), (pending) => {
      if (pending.at > at) return undefined;
      return pending.at < at ? "goes-on" : "refuses";
    });
  }

  /**
   * The port closed connections at once behind a break, and again later. That
   * proves nothing where the instance has answered since: one with too many
   * connections closes new ones, too.
   */
  recordClosing(
    { announcement }: ServerBreak<Interrupted>,
  ): ResolvedBreak<Interrupted>[] {
    const incarnation = incarnationOf(announcement);
    const hasAnswered = this.#breaks.get(incarnation)?.some(({ answeredAt }) =>
      answeredAt !== undefined
    );
    if (hasAnswered) return [];
    return this.#resolveEnd(incarnation, () => false, "closes");
  }

  /** A process was heard to have started. */
  recordStart(start: ServerStart, now: number): ResolvedBreak<Interrupted>[] {
    if (this.#size === 0) return [];
    return [...this.#breaks].flatMap(([incarnation, [first]]) => {
      const { address, bornAt, instance } = first!.announcement;
      if (start.address !== address || start.bornAt <= bornAt) return [];
      const isSameName = start.instance === undefined ||
        start.instance === instance;
      const isOutlived = ({ answeredAt }: PendingBreak<Interrupted>) =>
        answeredAt !== undefined &&
        !(isSameName && now - answeredAt <= START_NEWS_MILLISECONDS);
      return this.#resolveEnd(incarnation, isOutlived, "replaced");
    });
  }

  /** Another instance answered at the address of a backend server. */
  recordMisdirection(
    announcement: BackendAnnouncement,
  ): ResolvedBreak<Interrupted>[] {
    return this.#resolveEnd(
      incarnationOf(announcement),
      ({ answeredAt }) => answeredAt !== undefined,
      "misdirected",
    );
  }

  /**
   * An instance has sent a part of an answer to a request that was sent at
   * `sentAt`.
   */
  recordAnswer(
    announcement: BackendAnnouncement,
    { sentAt, now }: { sentAt: number; now: number },
  ): ResolvedBreak<Interrupted>[] {
    const incarnation = incarnationOf(announcement);
    // Its name is used again, or it hadn't ended.
    if (sentAt > (this.#endedAt.get(incarnation) ?? Infinity)) {
      this.#endedAt.delete(incarnation);
    }
    return this.#resolve(incarnation, (pending) => {
      if (now <= pending.at + READING_MILLISECONDS) return undefined;
      if (sentAt < pending.at) return "goes-on";
      pending.answeredAt ??= now;
      return undefined;
    });
  }

  /** A backend server was heard to leave, or to be gone as planned. */
  recordDeparture(
    announcement: BackendAnnouncement,
  ): ResolvedBreak<Interrupted>[] {
    return this.#resolve(incarnationOf(announcement), () => "departed");
  }

  /** Gives up breaks that nothing was heard of in time. */
  expire(now: number): ResolvedBreak<Interrupted>[] {
    for (const [incarnation, endedAt] of this.#endedAt) {
      if (now - endedAt > END_RETENTION_MILLISECONDS) {
        this.#endedAt.delete(incarnation);
      }
    }
    let excess = this.#size - MAX_BREAKS;
    return [...this.#breaks.keys()].flatMap((incarnation) =>
      this.#resolve(incarnation, ({ at, answeredAt = now }) => {
        if (now - answeredAt > START_NEWS_MILLISECONDS) return "answers";
        excess -= 1;
        const isOver = excess >= 0 || now - at > MAX_WAIT_MILLISECONDS;
        return isOver ? "unproved" : undefined;
      })
    );
  }

  /** A process is known to have ended: finds the break that its end caused. */
  #resolveEnd(
    incarnation: string,
    isOutlived: (pending: PendingBreak<Interrupted>) => boolean,
    verdict: BreakVerdict,
  ): ResolvedBreak<Interrupted>[] {
    let isAfterEnd = false;
    return this.#resolve(incarnation, (pending) => {
      if (isOutlived(pending)) return "answers";
      if (isAfterEnd) return "after-end";
      // What answered behind it may have been this process or the next one.
      isAfterEnd = pending.answeredAt === undefined;
      return verdict;
    });
  }

  /** Removes the breaks for which `judge` finds a verdict, and returns them. */
  #resolve(
    incarnation: string,
    judge: (pending: PendingBreak<Interrupted>) => BreakVerdict | undefined,
  ): ResolvedBreak<Interrupted>[] {
    const breaks = this.#breaks.get(incarnation);
    if (breaks === undefined) return [];
    const resolved: ResolvedBreak<Interrupted>[] = [];
    const left = breaks.filter((pending) => {
      const verdict = judge(pending);
      if (verdict === undefined) return true;
      const { announcement, interrupted, at } = pending;
      resolved.push({ announcement, interrupted, at, verdict });
      if (isProcessEnd(verdict)) this.#endedAt.set(incarnation, at);
      return false;
    });
    if (left.length === 0) this.#breaks.delete(incarnation);
    else if (resolved.length > 0) this.#breaks.set(incarnation, left);
    this.#size -= resolved.length;
    return resolved;
  }
}
