import { GRACE_SECONDS } from "./loopback_cluster.ts";
import { LOCAL, type RunDelay } from "./run_delay_watch.ts";
import { CLIENT_PATIENCE_MILLISECONDS } from "./send_traced_request.ts";
import type { TracedRequest } from "./traced_request.ts";

/** Silence that may cost no client an answer. */
export const MAX_FREE_SILENCE_MILLISECONDS = 2_000;
/** Time that an answer may need beyond its silences and its events. */
const MARGIN_MILLISECONDS = 1_000;
const TIMER_SLACK_MILLISECONDS = 100;
/** A request that crosses the close of its connection ends this soon. */
const CROSSING_MILLISECONDS = 200;
/** A stopping gateway may leave this late what was sent this early. */
const GRACE_MILLISECONDS = 1_000 * GRACE_SECONDS;
const LAST_SIXTH_MILLISECONDS = 5 / 6 * GRACE_MILLISECONDS;
const EARLY_MILLISECONDS = 3_000;
const AFTER_GRACE_MILLISECONDS = 1_000;

type Span = { from: number; to: number };

/** Times are from `performance.now()`, milliseconds. */
export type SilenceTimes = {
  /** Spans in which a backend server sent nothing. */
  silences: readonly (Span & { instance: string })[];
  /** From the signal until the process had ended. */
  kills: readonly (Span & { gateway: string })[];
  /** Spans in which a gateway's process stood still. */
  freezes: readonly (Span & { gateway: string })[];
  /** Planned stops, from SIGTERM until the process had ended. */
  stops: readonly (Span & { gateway: string })[];
  /** Of gateways, by IP address, and of the servers and clients: `LOCAL`. */
  runDelays: readonly RunDelay[];
  /**
   * How late the process of the servers and clients was, at the interval of
   * events: their servers' events came that much later.
   */
  lateSamples: readonly { to: number; milliseconds: number }[];
  /** Shortest time that any configuration or client left for a request. */
  shortestMilliseconds: number;
  eventIntervalMilliseconds: number;
};

/** Explains requests that were lost for a reason other than a silence. */
export class SilenceExcuses {
  #times: SilenceTimes;
  #instancesOf: (id: string) => readonly string[];

  /** @param instancesOf the backend servers that a request reached. */
  constructor(
    times: SilenceTimes,
    instancesOf: (id: string) => readonly string[],
  ) {
    this.#times = times;
    this.#instancesOf = instancesOf;
  }

  /**
   * Why a request may lack the answer or refusal that it is owed; undefined if
   * nothing excuses it.
   */
  explain(request: TracedRequest): string | undefined {
    if (request.isAbandoned) return this.#explainGap(request);
    if (!request.isWhole) return this.#explainBreak(request);
    if (request.status === 504) return this.#explainTimeout(request);
    return undefined;
  }

  /**
   * Why a client could give up: in a gap in which its gateway stood still, or
   * which silences longer than is free, or a machine too busy to run the
   * gateway, fill but for the time from one event to the next.
   */
  #explainGap(request: TracedRequest): string | undefined {
    if (this.#wasKilled(request)) return "gateway killed";
    const gap = { from: request.lastDataAt, to: request.endedAt };
    const silences = this.#silencesOf(request, gap);
    if (this.#freezesOf(request, gap).length > 0) return "gateway frozen";
    const delays = this.#runDelaysOf(request, gap);
    const held = measureUnion([...silences, ...delays], gap);
    const rest = this.#times.eventIntervalMilliseconds +
      TIMER_SLACK_MILLISECONDS;
    if (held + rest < CLIENT_PATIENCE_MILLISECONDS) return undefined;
    const isLong = ({ from, to }: Span) =>
      to - from > MAX_FREE_SILENCE_MILLISECONDS;
    if (silences.some(isLong)) return "long silence";
    return delays.length > 0 ? "machine too busy" : undefined;
  }

  /** Why an answer may be missing or incomplete. */
  #explainBreak(request: TracedRequest): string | undefined {
    if (request.lastByteAt === undefined) return "never sent whole";
    if (this.#wasKilled(request)) return "gateway killed";
    if (this.#wasLeftByStop(request)) return "grace over";
    if (this.#crossedClose(request)) return "crossed a close";
    return this.#explainTimeout(request);
  }

  /** Why the time was over: its silences had used it up. */
  #explainTimeout(request: TracedRequest): string | undefined {
    const { sentAt, endedAt, kind, events, lastByteAt = sentAt } = request;
    const { shortestMilliseconds, eventIntervalMilliseconds } = this.#times;
    const life = { from: sentAt, to: endedAt };
    if (endedAt - sentAt < shortestMilliseconds - TIMER_SLACK_MILLISECONDS) {
      return undefined;
    }
    const sending = { from: sentAt, to: lastByteAt };
    const held = measureUnion([
      sending,
      ...this.#silencesOf(request, life),
      ...this.#freezesOf(request, life),
    ], life);
    const work = kind === "stream" ? events * eventIntervalMilliseconds : 0;
    const late = this.#times.lateSamples
      .filter(({ to }) => to >= sentAt && to <= endedAt)
      .reduce((sum, { milliseconds }) => sum + milliseconds, 0);
    const isUsedUp =
      held + work + late + MARGIN_MILLISECONDS > shortestMilliseconds;
    return isUsedUp ? "time used up" : undefined;
  }

  #wasKilled({ gateway, sentAt, endedAt }: TracedRequest): boolean {
    return this.#times.kills.some((kill) =>
      kill.gateway === gateway && sentAt <= kill.to && endedAt >= kill.from
    );
  }

  #wasLeftByStop({ id, gateway, sentAt, endedAt }: TracedRequest): boolean {
    return this.#instancesOf(id).length > 0 &&
      this.#times.stops.some((stop) =>
        stop.gateway === gateway &&
        sentAt <= stop.from + EARLY_MILLISECONDS &&
        endedAt >= stop.from + LAST_SIXTH_MILLISECONDS &&
        endedAt <= stop.from + GRACE_MILLISECONDS + AFTER_GRACE_MILLISECONDS
      );
  }

  /**
   * Whether the gateway closed a connection, kept open or at its stop, while the
   * request was on its way and not yet read.
   */
  #crossedClose(request: TracedRequest): boolean {
    const { id, gateway, isReused, sentAt, endedAt } = request;
    const isStopping = this.#times.stops.some((stop) =>
      stop.gateway === gateway && sentAt <= stop.to && endedAt >= stop.from
    );
    return (isReused || isStopping) && this.#instancesOf(id).length === 0 &&
      endedAt - request.lastByteAt! <= CROSSING_MILLISECONDS;
  }

  #runDelaysOf({ gateway }: TracedRequest, within: Span): Span[] {
    return this.#times.runDelays.filter((delay) =>
      [gateway, LOCAL].includes(delay.process) && overlap(delay, within)
    );
  }

  #silencesOf({ id }: TracedRequest, within: Span): Span[] {
    const instances = this.#instancesOf(id);
    return this.#times.silences.filter((silence) =>
      instances.includes(silence.instance) && overlap(silence, within)
    );
  }

  #freezesOf({ gateway }: TracedRequest, within: Span): Span[] {
    return this.#times.freezes.filter((freeze) =>
      freeze.gateway === gateway && overlap(freeze, within)
    );
  }
}

function overlap(one: Span, other: Span): boolean {
  return one.from <= other.to && one.to >= other.from;
}

/** Time that at least one of the spans covers of `within`. */
function measureUnion(spans: Span[], within: Span): number {
  let total = 0;
  let reached = within.from;
  for (const { from, to } of spans.toSorted((a, b) => a.from - b.from)) {
    const start = Math.max(from, reached);
    const end = Math.min(to, within.to);
    if (end <= start) continue;
    total += end - start;
    reached = end;
  }
  return total;
}
