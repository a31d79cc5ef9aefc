import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { type Observable, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import { probeProcessEnd } from "../transport/probe_process_end.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { EndedServer } from "./ended_server.ts";
import { fingerprintCall } from "./fingerprint_call.ts";

/** When a process ends, all of its connections close within this time. */
const REQUEST_BATCH_MILLISECONDS = 30;
/**
 * How long an end that could not be checked waits for a later start at the same
 * address, which confirms it. By then a backend server that ended is back, or
 * known to be gone.
 */
const PENDING_MILLISECONDS = 15_000;

const PORT_FINDINGS = {
  ended: "refuses",
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
};

type Options = {
  hasOpenConnection: (address: string) => boolean;
  /** Whether the backend server has asked not to be called now. */
  isClosed: (announcement: BackendAnnouncement) => boolean;
  backends$: Observable<BackendAnnouncement[]>;
  log: EventLog;
  metrics: ProcessMetrics;
};

/**
 * Finds out whether a broken request was caused by the end of the backend
 * server's process or only of one connection. When the process ends, all
 * connections to it close and all requests in flight there are interrupted.
 */
export class CrashWatch {
  readonly ended$ = new Subject<EndedServer>();
  #options: Options;
  #gathering = new Map<string, EndedServer>();
  /**
   * Suspected ends whose backend server neither accepted nor refused the
   * check's connection, or was not to be checked, by instance.
   */
  #pending = new Map<string, EndedServer>();

  constructor(options: Options) {
    this.#options = options;
    options.backends$.subscribe((changed) => this.#resolvePending(changed));
  }

  /**
   * To be called for each request that a backend server, not this host, broke
   * off.
   */
  recordBrokenRequest({ call, announcement, begunAt }: BrokenRequest): void {
    const now = monotonicMilliseconds();
    const begunMilliseconds = begunAt === undefined ? undefined : now - begunAt;
    const fingerprint = fingerprintCall(call);
    const known = this.#gathering.get(announcement.instance);
    const interrupted = { call, fingerprint, begunMilliseconds };
    if (known !== undefined) return void known.interrupted.push(interrupted);
    const suspected = { announcement, interrupted: [interrupted], at: now };
    this.#gathering.set(announcement.instance, suspected);
    setTimeout(() => this.#checkEnded(suspected), REQUEST_BATCH_MILLISECONDS);
  }

  async #checkEnded(suspected: EndedServer): Promise<void> {
    const { instance, address } = suspected.announcement;
    this.#gathering.delete(instance);
    if (this.#options.hasOpenConnection(address)) {
      return this.#logCheck(suspected, "open-connection");
    }
    const mayProbe = !this.#options.isClosed(suspected.announcement);
    const answer = mayProbe ? await probeProcessEnd(address) : "unknown";
    this.#logCheck(suspected, mayProbe ? PORT_FINDINGS[answer] : "not-asked");
    if (answer === "ended") return this.#confirmEnd(suspected, "refuses");
    if (answer === "unknown") this.#pending.set(instance, suspected);
  }

  #logCheck({ announcement, interrupted, at }: EndedServer, found: string) {
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

  /**
   * Confirms ends that could not be checked directly: a later start at the same
   * address shows them.
   */
  #resolvePending(changed: BackendAnnouncement[]): void {
    if (this.#pending.size === 0) return;
    const now = monotonicMilliseconds();
    for (const [instance, suspected] of [...this.#pending]) {
      const { announcement, at } = suspected;
      const isReplaced = changed.some((later) =>
        later.address === announcement.address &&
        later.bornAt > announcement.bornAt
      );
      if (!isReplaced && now - at <= PENDING_MILLISECONDS) continue;
      this.#pending.delete(instance);
      if (isReplaced) this.#confirmEnd(suspected, "replaced");
    }
  }

  #confirmEnd(ended: EndedServer, how: "refuses" | "replaced"): void {
    const { announcement, interrupted } = ended;
    for (const { call, fingerprint, begunMilliseconds } of interrupted) {
      this.#options.log.info("backend-server-ended", {
        instance: announcement.instance,
        address: announcement.address,
        how,
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
