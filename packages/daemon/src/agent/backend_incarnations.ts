import { isProcessEnd } from "@teaselrouter/core/crashes/is_process_end.ts";
import type { ResolvedBreak } from "@teaselrouter/core/crashes/resolved_break.ts";
import { UnresolvedBreaks } from "@teaselrouter/core/crashes/unresolved_breaks.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { Subject } from "rxjs";
import { probeProcessEnd } from "../transport/probe_process_end.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { BackendServer } from "./backend_server.ts";

type Interrupted = {
  requestId: string;
  /** When the call was sent there, monotonic milliseconds. */
  sentAt: number;
};
type BrokenCall = Interrupted & {
  /** The backend server as it was when the call was sent. */
  backend: BackendServer;
};
type FailedCall = BrokenCall & {
  /** The backend server as it is announced now. */
  current: () => BackendServer;
  /** Whether it had said that it shuts down. */
  isEndExpected: boolean;
};
/** An end that was proved after its calls had been answered as failed. */
type LateEnd = { incarnation: string; requestIds: string[] };

/**
 * Makes ids for the incarnations (starts) of the backend server on an agent's
 * host: the agent's own incarnation, "@", and the number of the backend
 * server's ends that the agent has seen, the incarnation's own end included.
 */
export class BackendIncarnations {
  readonly lateEnds$ = new Subject<LateEnd>();
  /** Id of the agent process, as the backend server has no id of its own. */
  #incarnation: string;
  #endCount = 0;
  #endedAt = -Infinity;
  #breaks = new UnresolvedBreaks<Interrupted>();

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /**
   * Finds out after a failed call whether the backend server has ended. Calls
   * that one end interrupted all get the same id; a call that was sent after an
   * end belongs to the next incarnation. An end that can't be told now is told
   * by `lateEnds$`, if the backend server says when it started.
   *
   * @returns id of the incarnation that ended; empty if none is known to have.
   */
  async findEndedIncarnation(
    { requestId, sentAt, backend, current, isEndExpected }: FailedCall,
  ): Promise<string> {
    const failedAt = monotonicMilliseconds();
    const hasEnded = await probeProcessEnd(backend.address) === "ended" ||
      isLaterStart(current(), backend);
    if (hasEnded) return this.#nameEnd(sentAt, failedAt);
    if (isEndExpected) return "";
    this.#breaks.add({
      announcement: toAnnouncement(backend),
      interrupted: { requestId, sentAt },
      sentAt,
      now: failedAt,
    });
    return "";
  }

  /** Takes in what the backend server says of its start. */
  recordStart(backend: BackendServer): void {
    const start = toAnnouncement(backend);
    this.#settle(this.#breaks.recordStart(start, monotonicMilliseconds()));
  }

  /** Takes in that a call was answered. */
  recordAnswer({ sentAt, backend }: Omit<BrokenCall, "requestId">): void {
    const now = monotonicMilliseconds();
    const announcement = toAnnouncement(backend);
    this.#settle(this.#breaks.recordAnswer(announcement, { sentAt, now }));
  }

  /** To be called about once a second. */
  expire(): void {
    this.#settle(this.#breaks.expire(monotonicMilliseconds()));
  }

  #settle(resolved: ResolvedBreak<Interrupted>[]): void {
    for (const { interrupted, at, verdict } of resolved) {
      if (!isProcessEnd(verdict)) continue;
      const sentAt = Math.max(...interrupted.map(({ sentAt }) => sentAt));
      this.lateEnds$.next({
        incarnation: this.#nameEnd(sentAt, at),
        requestIds: interrupted.map(({ requestId }) => requestId),
      });
    }
  }

  #nameEnd(sentAt: number, endedAt: number): string {
    if (sentAt > this.#endedAt) {
      this.#endCount += 1;
      this.#endedAt = endedAt;
    }
    return `${this.#incarnation}@${this.#endCount}`;
  }
}

function isLaterStart(
  { started_at: later = 0 }: BackendServer,
  { started_at: earlier = 0 }: BackendServer,
): boolean {
  return later > earlier;
}

/** The only backend server of an agent has its address for a name. */
function toAnnouncement(backend: BackendServer): BackendAnnouncement {
  const { address, service, slots, started_at = 0 } = backend;
  return {
    instance: address,
    service,
    address,
    dataCentre: "",
    slots,
    state: "ready",
    bornAt: started_at,
    sequence: 0,
    coldMilliseconds: 0,
    models: [],
  };
}
