import type { BackendChoice } from "@teaselrouter/core/gateway/backend_choice.ts";
import type { BackendRecord } from "@teaselrouter/core/gateway/backend_record.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { Placement } from "@teaselrouter/core/gateway/placement.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { BackendAttempt } from "./backend_attempt.ts";
import type { GatewayWorld } from "./gateway_world.ts";

/** How it is sent, and where a stream goes on that another began. */
type Sending = {
  weightsVersion: number | undefined;
  resumesAfter: string | undefined;
  placement: Placement;
};

/** Late requests go behind all that are in time, and keep their own order. */
const LATE_RANKS = 5;
const LAST_RANK = 9;

/** Sends one request to backend servers, and remembers to which. */
export class CallSender {
  /** Instances that it was sent to. */
  readonly tried = new Set<string>();
  #world: GatewayWorld;
  #call: AdmittedCall;
  #attempt: BackendAttempt | undefined;
  /** When the latest sending began, monotonic milliseconds. */
  sentAt = -Infinity;

  constructor(world: GatewayWorld, call: AdmittedCall) {
    this.#world = world;
    this.#call = call;
  }

  /** Whether a byte of it may have reached the latest backend server. */
  get isSent(): boolean {
    return this.#attempt?.isSent ?? false;
  }

  /** Whether the connection to the latest backend server failed. */
  get hasFailed(): boolean {
    return this.#attempt?.hasFailed ?? false;
  }

  /** Whether this host ended the latest sending, not the backend server. */
  get isGivenUp(): boolean {
    return this.#attempt?.isGivenUp ?? false;
  }

  abort(reason: string): void {
    this.#attempt?.abort(reason);
  }

  /** Never rejects. The backend server's record counts what becomes of it. */
  async send(
    choice: BackendChoice,
    sending: Sending,
  ): Promise<AttemptOutcome> {
    const { standing, record } = choice;
    const { promptTokens } = this.#call.facts;
    const sentAt = monotonicMilliseconds();
    this.sentAt = sentAt;
    this.tried.add(standing.instance);
    this.#world.namedLimits.take(standing);
    record.noteSend(sentAt);
    record.inFlight += 1;
    const timely = sending.placement.kind === "timely" ? 1 : 0;
    record.unreadTokens += promptTokens;
    record.timelyUnread += timely;
    const attempt = this.#open(choice, sending);
    this.#attempt = attempt;
    const endWait = this.#boundWait(choice, attempt);
    const outcome = await attempt.outcome;
    endWait();
    record.unreadTokens -= promptTokens;
    record.timelyUnread -= timely;
    if (outcome.kind === "answer") this.#listen(record, outcome, sentAt);
    else record.inFlight -= 1;
    return outcome;
  }

  /** Counts a failure that was not this host's own doing. */
  noteFailure(
    { standing, record }: BackendChoice,
    outcome: Exclude<AttemptOutcome, { kind: "answer" }>,
  ): void {
    const { log } = this.#world;
    log.info("send-failed", {
      id: this.#call.id,
      instance: standing.instance,
      outcome: outcome.kind,
      reason: outcome.reason,
      sends: this.tried.size,
    });
    const now = monotonicMilliseconds();
    const isUnreachable = outcome.kind === "not-run" && outcome.isUnreachable;
    const isAside = isUnreachable
      ? record.leaveAside(now)
      : outcome.kind === "broken" && record.countFailure(now);
    if (!isAside) return;
    log.warn("backend-server-aside", {
      instance: standing.instance,
      address: standing.address,
      reason: outcome.reason,
    });
  }

  /** All that comes of an answer shows that its backend server is there. */
  #listen(
    record: BackendRecord,
    { message }: Extract<AttemptOutcome, { kind: "answer" }>,
    sentAt: number,
  ): void {
    const now = monotonicMilliseconds();
    record.noteHead(now - sentAt);
    record.noteHeard(now);
    message.on("data", () => record.noteHeard(monotonicMilliseconds()));
  }

  #open(
    { standing }: BackendChoice,
    { weightsVersion, resumesAfter, placement }: Sending,
  ): BackendAttempt {
    const { connections, format, namedLimits } = this.#world;
    const call = this.#call;
    const left = Math.floor(call.endsAt - monotonicMilliseconds());
    return new BackendAttempt({
      address: standing.address,
      agent: connections.agentFor(standing.address),
      method: call.method,
      path: call.path,
      body: call.body,
      id: call.id,
      format,
      noteFacts: (facts) => namedLimits.hear(standing, facts),
      headers: format.forwardHeaders(call.rawHeaders, {
        weightsVersion,
        resumesAfter,
        deadlineMilliseconds: Math.max(1, left),
        instance: standing.instance,
        workspace: call.workspace,
        rank: placement.kind === "late"
          ? Math.min(LAST_RANK, call.rank + LATE_RANKS)
          : call.rank,
      }),
    });
  }

  /** One that waits in an engine's queue must not begin on weights too old. */
  #boundWait(
    { standing }: BackendChoice,
    attempt: BackendAttempt,
  ): () => void {
    const { model } = this.#call.facts;
    if (model === undefined) return () => {};
    const until = this.#world.pool.mayBeginUntil(standing, model);
    if (until === Infinity) return () => {};
    const timer = setTimeout(
      () => attempt.abort("its weights are too old to begin on"),
      Math.max(0, until - monotonicMilliseconds()),
    );
    return () => clearTimeout(timer);
  }
}
