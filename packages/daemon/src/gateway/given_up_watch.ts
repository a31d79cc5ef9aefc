import type { EndedGivenUpRuns } from "@teaselrouter/core/crashes/ended_given_up_runs.ts";
import type { GivenUpRun } from "@teaselrouter/core/crashes/given_up_run.ts";
import { GivenUpRuns } from "@teaselrouter/core/crashes/given_up_runs.ts";
import type { ServerStart } from "@teaselrouter/core/crashes/server_start.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { incarnationOf } from "@teaselrouter/core/membership/incarnation_of.ts";
import { type Observable, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ProcessMetrics } from "../metrics/process_metrics.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { EndedRuns } from "./ended_runs.ts";
import type { EndedServer } from "./ended_server.ts";
import { fingerprintCall } from "./fingerprint_call.ts";
import type { InterruptedCall } from "./interrupted_call.ts";
import type { ToldEnd } from "./told_end.ts";

type GivenUpCall = Pick<InterruptedCall, "call" | "fingerprint">;

type GivenUpRequest =
  & Pick<GivenUpRun<unknown>, "announcement" | "begunAt" | "sentAt">
  & { call: AdmittedCall };

type Options = {
  /** Ends that this host has seen. */
  ended$: Observable<EndedServer>;
  /** Ends that other hosts have seen. */
  toldEnds$: Observable<ToldEnd[]>;
  backends$: Observable<BackendAnnouncement[]>;
  /** Starts of engines, as stagers tell of them. */
  engineStarts$: Observable<ServerStart>;
  /** Whether the backend server has said that it leaves, or is gone. */
  hasDeparted: (announcement: BackendAnnouncement) => boolean;
  log: EventLog;
  metrics: ProcessMetrics;
};

/**
 * Finds out which requests that this host has given up may have been running
 * where a backend server ended, whoever saw the end.
 */
export class GivenUpWatch {
  readonly ended$ = new Subject<EndedRuns>();
  #options: Options;
  #runs = new GivenUpRuns<GivenUpCall>();

  constructor(options: Options) {
    this.#options = options;
    options.ended$.subscribe(({ announcement, at }) =>
      this.#takeEnded({ incarnation: incarnationOf(announcement), at })
    );
    options.toldEnds$.subscribe((ends) => {
      for (const end of ends) this.#takeEnded(end);
    });
    options.engineStarts$.subscribe((start) => this.#hearOfStart(start));
    options.backends$.subscribe((changed) => {
      for (const each of changed) {
        if (each.state !== "gone") this.#hearOfStart(each);
      }
    });
  }

  /**
   * To be called for each request that this host gives up at a backend server,
   * which may go on with it.
   */
  record({ call, announcement, begunAt, sentAt }: GivenUpRequest): void {
    if (this.#options.hasDeparted(announcement)) return;
    const { id, metadata: { sharedParts } } = call;
    this.#runs.add({
      announcement,
      run: {
        call: { id, metadata: { sharedParts } },
        fingerprint: fingerprintCall(call),
      },
      begunAt,
      sentAt,
      givenUpAt: monotonicMilliseconds(),
    });
  }

  /** To be called about twice a second. */
  expire(): void {
    const now = monotonicMilliseconds();
    for (const ended of this.#runs.takeReplaced(now)) this.#emit(ended);
    this.#runs.expire(now);
  }

  #hearOfStart(start: ServerStart): void {
    if (this.#runs.size === 0) return;
    this.#runs.recordStart(start, monotonicMilliseconds());
  }

  #takeEnded({ incarnation, at }: ToldEnd): void {
    const runs = this.#runs.takeEnded(incarnation, at);
    if (runs.length > 0) this.#emit({ at, runs });
  }

  #emit({ at, runs }: EndedGivenUpRuns<GivenUpCall>): void {
    const { announcement } = runs[0]!;
    if (this.#options.hasDeparted(announcement)) return;
    this.#options.metrics.runsGivenUpBeforeEnds.inc(runs.length);
    for (const { run, begunAt, givenUpAt } of runs) {
      this.#options.log.info("given-up-before-end", {
        instance: announcement.instance,
        id: run.call.id,
        fingerprint: run.fingerprint,
        parts: run.call.metadata.sharedParts.join(","),
        begun_milliseconds: Math.round(at - begunAt),
        given_up_milliseconds: Math.round(at - givenUpAt),
      });
    }
    const interrupted = runs.map(({ run, begunAt, sentAt }) => ({
      ...run,
      begunMilliseconds: Math.max(0, at - begunAt),
      sentMilliseconds: Math.max(0, at - sentAt),
    }));
    this.ended$.next({ announcement, interrupted, at, areGivenUp: true });
  }
}
