import { isProcessEnd } from "@teaselrouter/core/crashes/is_process_end.ts";
import type { ResolvedBreak } from "@teaselrouter/core/crashes/resolved_break.ts";
import type { ServerBreak } from "@teaselrouter/core/crashes/server_break.ts";
import type { ServerStart } from "@teaselrouter/core/crashes/server_start.ts";
import { SIMULTANEOUS_MILLISECONDS } from "@teaselrouter/core/crashes/simultaneous_milliseconds.ts";
import { UnresolvedBreaks } from "@teaselrouter/core/crashes/unresolved_breaks.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { type Observable, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import { probeProcessEnd } from "../transport/probe_process_end.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { EndedServer } from "./ended_server.ts";
import { fingerprintCall } from "./fingerprint_call.ts";
import type { InterruptedCall } from "./interrupted_call.ts";

/**
 * A port that closes connections is asked again: a server that has too many of
 * them does so for a moment.
 */
const ASK_AGAIN_MILLISECONDS = 200;

const PORT_FINDINGS = {
  ended: "refuses",
  closed: "closes",
  alive: "accepts",
  unknown: "no-answer",
} as const;

/** A request in flight whose connection a backend server closed. */
type BrokenRequest = {
  call: AdmittedCall;
  announcement: BackendAnnouncement;
  /**
   * When the backend server began to work on the request, monotonic
   * milliseconds: for a stream, when its answer's head arrived (undefined
   * before); for other routes, when the request was sent.
   */
  begunAt: number | undefined;
  /** When the request was sent, monotonic milliseconds. */
  sentAt: number;
};

type Options = {
  hasOpenConnection: (address: string) => boolean;
  /** Whether the backend server has asked not to be called now. */
  isClosed: (announcement: BackendAnnouncement) => boolean;
  /** Whether the backend server has said that it leaves, or is gone. */
  hasDeparted: (announcement: BackendAnnouncement) => boolean;
  /** The starts that are known at an address. */
  listStarts: (address: string) => ServerStart[];
  backends$: Observable<BackendAnnouncement[]>;
  /** Starts of engines, as stagers tell of them. */
  engineStarts$: Observable<ServerStart>;
  log: EventLog;
  metrics: ProcessMetrics;
};

/**
 * Finds out whether a broken request was caused by the end of the backend
 * server's process or only of one connection: asks the port, and waits for what
 * is heard of the server afterwards.
 */
export class CrashWatch {
  readonly ended$ = new Subject<EndedServer>();
  #options: Options;
  #breaks = new UnresolvedBreaks<InterruptedCall>();

  constructor(options: Options) {
    this.#options = options;
    options.backends$.subscribe((changed) => {
      for (const announcement of changed) this.#hearOf(announcement);
    });
    options.engineStarts$.subscribe((start) => this.#hearOfStart(start));
  }

  /**
   * To be called for each request that a backend server, not this host, broke
   * off.
   */
  recordBrokenRequest(
    { call, announcement, begunAt, sentAt }: BrokenRequest,
  ): void {
    if (this.#options.hasDeparted(announcement)) return;
    const now = monotonicMilliseconds();
    const interrupted = {
      call,
      fingerprint: fingerprintCall(call),
      begunMilliseconds: begunAt === undefined ? undefined : now - begunAt,
      sentMilliseconds: now - sentAt,
    };
    const added = this.#breaks.add({ announcement, interrupted, sentAt, now });
    if (added === undefined) return;
    setTimeout(() => this.#check(added), SIMULTANEOUS_MILLISECONDS);
  }

  /**
   * To be called for each part of an answer that an instance has surely sent;
   * `sentAt` is when its request was sent, monotonic milliseconds.
   */
  recordAnswer(announcement: BackendAnnouncement, sentAt: number): void {
    if (this.#breaks.isIdle) return;
    const now = monotonicMilliseconds();
    this.#settle(this.#breaks.recordAnswer(announcement, { sentAt, now }));
  }

  /** To be called when another instance answers in a backend server's place. */
  recordMisdirection(announcement: BackendAnnouncement): void {
    if (this.#breaks.size === 0) return;
    this.#settle(this.#breaks.recordMisdirection(announcement));
  }

  /** To be called about twice a second. */
  expire(): void {
    this.#settle(this.#breaks.expire(monotonicMilliseconds()));
  }

  async #check(added: ServerBreak<InterruptedCall>): Promise<void> {
    const { address } = added.announcement;
    // News of a start may have come before its predecessor's end was noticed.
    for (const start of this.#options.listStarts(address)) {
      this.#hearOfStart(start);
    }
    const found = await this.#askPortTwice(added.announcement);
    this.#logCheck(added, found);
    if (found === "refuses") this.#settle(this.#breaks.recordRefusal(added));
    if (found === "closes") this.#settle(this.#breaks.recordClosing(added));
  }

  /** Returns "closes" only where the port did so both times. */
  async #askPortTwice(announcement: BackendAnnouncement): Promise<string> {
    const found = await this.#askPort(announcement);
    if (found !== "closes") return found;
    await sleep(ASK_AGAIN_MILLISECONDS);
    return await this.#askPort(announcement);
  }

  async #askPort(announcement: BackendAnnouncement): Promise<string> {
    const { hasOpenConnection, isClosed } = this.#options;
    // Each connection costs the backend server something.
    if (hasOpenConnection(announcement.address)) return "open-connection";
    if (isClosed(announcement)) return "not-asked";
    const { address } = announcement;
    return PORT_FINDINGS[await probeProcessEnd(address, { awaitsClose: true })];
  }

  #hearOf(announcement: BackendAnnouncement): void {
    if (this.#breaks.size === 0) return;
    if (this.#options.hasDeparted(announcement)) {
      this.#settle(this.#breaks.recordDeparture(announcement));
    }
    if (announcement.state !== "gone") this.#hearOfStart(announcement);
  }

  #hearOfStart({ address, instance, bornAt }: ServerStart): void {
    const now = monotonicMilliseconds();
    this.#settle(this.#breaks.recordStart({ address, instance, bornAt }, now));
  }

  #logCheck(
    { announcement, interrupted, at }: ServerBreak<InterruptedCall>,
    found: string,
  ): void {
    const { log, metrics } = this.#options;
    metrics.breaksChecked.inc({ found });
    log.info("break-checked", {
      instance: announcement.instance,
      address: announcement.address,
      found,
      interrupted: interrupted.length,
      milliseconds: Math.round(monotonicMilliseconds() - at),
    });
  }

  #settle(resolved: ResolvedBreak<InterruptedCall>[]): void {
    for (const each of resolved) {
      const { announcement, interrupted, at } = each;
      const isPlanned = isProcessEnd(each.verdict) &&
        this.#options.hasDeparted(announcement);
      const verdict = isPlanned ? "departed" : each.verdict;
      this.#options.metrics.breaksResolved.inc({ verdict });
      this.#options.log.info("break-resolved", {
        instance: announcement.instance,
        address: announcement.address,
        verdict,
        interrupted: interrupted.length,
        milliseconds: Math.round(monotonicMilliseconds() - at),
      });
      if (isProcessEnd(verdict)) this.#confirmEnd(each);
    }
  }

  #confirmEnd(ended: EndedServer): void {
    const { announcement, interrupted, verdict } = ended;
    for (const { call, fingerprint, begunMilliseconds } of interrupted) {
      this.#options.log.info("backend-server-ended", {
        instance: announcement.instance,
        address: announcement.address,
        how: verdict,
        id: call.id,
        fingerprint,
        parts: call.metadata.sharedParts.join(","),
        begun_milliseconds: begunMilliseconds === undefined
          ? "not"
          : Math.round(begunMilliseconds),
        interrupted: interrupted.length,
      });
    }
    this.ended$.next(ended);
  }
}
