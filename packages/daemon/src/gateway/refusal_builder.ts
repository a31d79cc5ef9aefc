import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { DispatchDecision } from "@teaselrouter/core/dispatch/dispatch_decision.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import { toBlameFields } from "../log/to_blame_fields.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { CallRefusal } from "./call_refusal.ts";
import type { GatewayContext } from "./gateway_context.ts";

/**
 * Largest share of the delay that is added as jitter: clients that were refused
 * together must not retry together.
 */
const LIMIT_JITTER = 0.5;

/** As LIMIT_JITTER; smaller, since the ends of pauses are spread already. */
const PAUSE_JITTER_SHARE = 0.25;

type Cause = "outage" | "overload" | "busy";

type Refused = Extract<DispatchDecision, { kind: "refuse" }>;

const TEXT_BY_REASON = {
  "no-allowed-place": "no backend server is where it may be served",
  "no-room": "its backend servers have no room",
  "room-kept": "the room left is kept for more urgent requests",
  "share-used": "its workspace uses its share of the room",
} as const;

/** Builds the refusals of one request, depending on whether it may have run. */
export class RefusalBuilder {
  /** Whether a backend server may have begun to run the request. */
  mayHaveRun = false;
  #context: GatewayContext;
  #call: AdmittedCall;

  constructor(context: GatewayContext, call: AdmittedCall) {
    this.#context = context;
    this.#call = call;
  }

  /**
   * Refusal with a retry delay. Promises that the request has not run (503)
   * only if no backend server can have begun it.
   */
  build(reason: string, cause: Cause): CallRefusal {
    const patienceMilliseconds = this.#call.deadlineAt - this.#call.startedAt;
    const random = this.#context.random();
    return this.#withRetryAfter(
      reason,
      retryAfter({ cause, patienceMilliseconds, random }),
    );
  }

  /** Refusal that `decideDispatch` decided on. */
  buildDecided(
    { reason, retryAfterMilliseconds }: Refused,
    lastReason: string,
  ): CallRefusal {
    this.#context.metrics.refusals.inc({ reason });
    if (reason === "no-retry-left") {
      return this.build(`${lastReason}; no further send is allowed`, "busy");
    }
    const text = TEXT_BY_REASON[reason];
    const cause = reason === "no-allowed-place" ? "outage" : "overload";
    return retryAfterMilliseconds === undefined
      ? this.build(text, cause)
      : this.#withRetryAfter(text, retryAfterMilliseconds);
  }

  /**
   * Refusal of a request that crashes the backend servers that run it: until
   * the blame's term ends, a retry would be refused too.
   */
  buildBlamed(blame: Blame): CallRefusal {
    const now = monotonicMilliseconds();
    this.#context.log.info("blamed-request-refused", {
      id: this.#call.id,
      ...toBlameFields(blame, now),
      outcome: this.mayHaveRun ? "unknown" : "not-run",
    });
    const reason = `${blame.crashes} backend servers ended under it`;
    return this.#withRetryAfter(reason, blame.endsAt - now);
  }

  /**
   * Refusal for when all eligible backend servers have used up their limits.
   */
  buildLimited(waitMilliseconds: number): CallRefusal {
    return this.#withRetryAfter(
      "its backend servers have named limits",
      waitMilliseconds * (1 + LIMIT_JITTER * this.#context.random()),
    );
  }

  /**
   * Refusal for when the eligible backend servers are cold, and have got what
   * they bear. Infinite waits stand for an outage.
   */
  buildCold(waitMilliseconds: number): CallRefusal {
    this.#context.metrics.refusals.inc({ reason: "cold-servers" });
    const text = "its backend servers are cold and take few requests";
    return Number.isFinite(waitMilliseconds)
      ? this.#withRetryAfter(
        text,
        waitMilliseconds * (1 + LIMIT_JITTER * this.#context.random()),
      )
      : this.build(text, "outage");
  }

  /**
   * Refusal for when the eligible backend servers accept no requests now;
   * undefined if none of them will take any again. Each call draws one of the
   * servers, so that refused clients are spread over the moments at which these
   * take requests again.
   */
  buildPaused(paused: BackendAnnouncement[]): CallRefusal | undefined {
    const { pushbacks, random } = this.#context;
    const waits = paused
      .map((announcement) => pushbacks.millisecondsUntilOpen(announcement))
      .filter((wait) => wait !== Infinity);
    const wait = waits[Math.floor(waits.length * random())];
    if (wait === undefined) return undefined;
    pushbacks.logRefusal(this.#call.id, paused);
    return this.#withRetryAfter(
      "its backend servers accept no requests now",
      wait * (1 + PAUSE_JITTER_SHARE * random()),
    );
  }

  #withRetryAfter(detail: string, retryAfterMilliseconds: number): CallRefusal {
    const { permittedRegions } = this.#call;
    const reason = permittedRegions === undefined
      ? detail
      : `${detail}; allowed regions: ${[...permittedRegions].join(", ")}`;
    return this.mayHaveRun
      ? { status: 502, reason }
      : { status: 503, reason, retryAfterMilliseconds };
  }
}
