import { create } from "@bufbuild/protobuf";
import type { ClaimRow } from "@teaselrouter/core/claims/claim_row.ts";
import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import type { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import type { Router } from "@teaselrouter/core/routing/router.ts";
import {
  CallService,
  type RunRequest,
  RunRequestSchema,
} from "@teaselrouter/messages/agent.ts";
import { Buffer } from "node:buffer";
import { createHash, randomUUID } from "node:crypto";
import type { ClientPool } from "../../transport/client_pool.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import { sleep } from "../../transport/sleep.ts";
import { callProblems } from "./call_problems.ts";
import type { CallCrashDetector } from "./call_crash_detector.ts";
import type { CheckedCall } from "./checked_call.ts";
import { ExchangeReader } from "./exchange_reader.ts";
import type { Problem } from "../../http/problem.ts";
import type { Proposer } from "../sessions/proposer.ts";
import { outcomeFromClaim } from "./outcome_from_claim.ts";
import type { UnrepeatableAnswer } from "./unrepeatable_answer.ts";
import type { UnrepeatableOutcome } from "./unrepeatable_outcome.ts";

const MAX_CLAIM_ATTEMPTS = 4;
const SETTLE_TIMEOUT_MILLISECONDS = 2_000;
const MAX_SETTLE_ATTEMPTS = 3;
const SETTLE_RETRY_DELAY_MILLISECONDS = 50;
const MAX_RECORDED_ANSWER_BYTES = 65_536;

type Services = {
  control: Proposer;
  router: Router;
  table: BackendServerTable;
  clients: ClientPool;
  crashes: CallCrashDetector;
};

/**
 * Runs one call that may not be repeated. The call is claimed in the replicated
 * log for one agent process before it is sent, and its outcome is recorded in
 * the log before the caller receives it. "not-run" is reported only if nothing
 * was claimed, or if the agent has confirmed that the call never will run.
 */
export class UnrepeatableCall {
  #services: Services;
  #call: CheckedCall;
  #bodyDigest: string;
  #aborter = new AbortController();

  constructor(services: Services, call: CheckedCall) {
    this.#services = services;
    this.#call = call;
    this.#bodyDigest = createHash("sha256")
      .update(`${call.path}\n`).update(call.body).digest("hex");
  }

  async run(): Promise<UnrepeatableOutcome> {
    const timer = setTimeout(
      () => this.#aborter.abort(),
      this.#remainingMilliseconds(),
    );
    try {
      return await this.#claimAndRun();
    } finally {
      clearTimeout(timer);
    }
  }

  async #claimAndRun(): Promise<UnrepeatableOutcome> {
    let outcome: UnrepeatableOutcome = createFailedOutcome(
      callProblems.notRun("overloaded", 1_000),
    );
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt += 1) {
      outcome = await this.#claimOnce();
      if (outcome.kind !== "not-run") return outcome;
      if (this.#aborter.signal.aborted) return outcome;
    }
    return outcome;
  }

  async #claimOnce(): Promise<UnrepeatableOutcome> {
    const { control, router } = this.#services;
    const decision = router.route(control.state, {
      service: this.#call.service,
      prefix: "",
      deadlineMilliseconds: this.#remainingMilliseconds(),
      tried: new Set(),
      now: Date.now(),
    });
    if (decision.kind === "refuse") {
      return createFailedOutcome(
        callProblems.notRun(decision.reason, decision.retryAfterMilliseconds),
      );
    }
    const row = decision.to;
    const requestId = randomUUID();
    const reply = await control.propose({
      kind: "claim",
      workspace: this.#call.workspace,
      key: this.#call.idempotencyKey,
      service: this.#call.service,
      bodyDigest: this.#bodyDigest,
      backendServer: row.backendServer,
      incarnation: row.incarnation,
      requestId,
      // The leader sets the time.
      at: 0,
    }, this.#remainingMilliseconds());
    if (reply.kind === "not-proposed") {
      return createFailedOutcome(callProblems.notRun("no-leader", 1_000));
    }
    if (reply.kind === "unknown") {
      return createFailedOutcome(callProblems.unknown("claim-not-confirmed"));
    }
    const { accepted, reason, value } = reply.result;
    const claim = value as ClaimRow;
    // A claim that was proposed twice is refused the second time because of its
    // own first copy.
    if (accepted || claim.requestId === requestId) {
      return this.#runClaimed(claim, row);
    }
    if (reason === "key-used-for-another-call") {
      return createFailedOutcome(callProblems.keyReused());
    }
    return this.#resolveExistingClaim(claim);
  }

  async #runClaimed(
    claim: ClaimRow,
    row: BackendServerRow,
  ): Promise<UnrepeatableOutcome> {
    row.ownInFlight += 1;
    try {
      return await this.#readAnswer(claim, row, false);
    } finally {
      row.ownInFlight -= 1;
    }
  }

  async #readAnswer(
    claim: ClaimRow,
    row: BackendServerRow,
    attachOnly: boolean,
  ): Promise<UnrepeatableOutcome> {
    const reader = new ExchangeReader({
      clients: this.#services.clients,
      address: row.internalAddress,
      request: this.#createRunRequest(claim),
      signal: this.#aborter.signal,
      attachOnly,
    });
    const begunAt = monotonicMilliseconds();
    const parts: Uint8Array[] = [];
    let head = { status: 0, contentType: "" };
    for await (const part of reader.read()) {
      switch (part.kind) {
        case "start":
          head = { status: part.status, contentType: part.contentType };
          break;
        case "data":
          parts.push(part.bytes);
          break;
        case "end":
          this.#services.crashes.recordCompletion(this.#call);
          return this.#recordAnswer(claim, {
            ...head,
            body: Buffer.concat(parts),
          });
        case "refused":
          if (part.endedIncarnation !== "") {
            const { crashes } = this.#services;
            crashes.recordCrash(this.#call, part.endedIncarnation, begunAt);
          } else if (part.outcome !== "not-run") {
            const { crashes } = this.#services;
            crashes.recordBreak(reader.requestId, this.#call, begunAt);
          }
          if (part.outcome === "not-run") {
            return this.#cancelClaim(
              claim,
              part.reason,
              part.retryAfterMilliseconds,
            );
          }
          return this.#recordUnknown(claim, part.reason);
        case "broken":
          return this.#resolveExistingClaim(claim);
      }
    }
    return createFailedOutcome(callProblems.unknown("deadline-exceeded"));
  }

  /**
   * Called if the key was claimed before, or if the answer could not be read.
   * Returns the recorded outcome. Without one, asks the agent whether the call
   * has arrived there, and then either reads its answer or cancels the claim.
   */
  async #resolveExistingClaim(claim: ClaimRow): Promise<UnrepeatableOutcome> {
    if (claim.state !== "claimed") return outcomeFromClaim(claim);
    const row = this.#services.table.get(claim.backendServer);
    if (row === undefined) {
      return createFailedOutcome(
        callProblems.unknown("backend-server-unreachable"),
      );
    }
    if (row.incarnation !== claim.incarnation) {
      // Only the claiming agent process knew whether the call ran, and it is
      // gone.
      return this.#recordUnknown(claim, "backend-server-restarted");
    }
    const settled = await this.#settleClaim(claim, row.internalAddress);
    if (settled === undefined || settled.incarnation !== claim.incarnation) {
      return createFailedOutcome(
        callProblems.unknown("backend-server-unreachable"),
      );
    }
    if (settled.tombstoned) return this.#cancelClaim(claim, "never-run", 100);
    return this.#readAnswer(claim, row, true);
  }

  /**
   * Asks the agent whether the call has arrived there; again on a new
   * connection while there is time, as a sound agent may be silent for a while.
   * Undefined if it does not answer.
   */
  async #settleClaim(claim: ClaimRow, address: string) {
    const { clients } = this.#services;
    const request = {
      claimKey: formatClaimKey(claim),
      claimIndex: claim.claimIndex,
    };
    const options = { timeoutMs: SETTLE_TIMEOUT_MILLISECONDS };
    for (let attempt = 0; attempt < MAX_SETTLE_ATTEMPTS; attempt += 1) {
      const client = clients.client(CallService, address);
      const settled = await client.settleClaim(request, options)
        .catch(() => undefined);
      if (settled !== undefined) return settled;
      if (this.#aborter.signal.aborted) return undefined;
      clients.dropConnection(address, client);
      await sleep(SETTLE_RETRY_DELAY_MILLISECONDS);
    }
    return undefined;
  }

  async #recordAnswer(
    claim: ClaimRow,
    answer: UnrepeatableAnswer,
  ): Promise<UnrepeatableOutcome> {
    const isStored = answer.body.length <= MAX_RECORDED_ANSWER_BYTES;
    const reply = await this.#services.control.propose({
      kind: "settle-claim",
      workspace: claim.workspace,
      key: claim.key,
      claimIndex: claim.claimIndex,
      outcome: "ran",
      status: answer.status,
      contentType: isStored ? answer.contentType : "",
      answer: isStored ? answer.body.toString("base64") : "",
    }, this.#remainingMilliseconds());
    if (reply.kind !== "committed") {
      return createFailedOutcome(callProblems.unknown("outcome-not-recorded"));
    }
    if (!isStored && reply.result.accepted) return { kind: "answered", answer };
    return outcomeFromClaim(reply.result.value as ClaimRow);
  }

  async #recordUnknown(
    claim: ClaimRow,
    reason: string,
  ): Promise<UnrepeatableOutcome> {
    const reply = await this.#services.control.propose({
      kind: "settle-claim",
      workspace: claim.workspace,
      key: claim.key,
      claimIndex: claim.claimIndex,
      outcome: "unknown",
      status: 0,
      contentType: "",
      answer: "",
    }, this.#remainingMilliseconds());
    if (reply.kind === "committed" && reply.result.accepted) {
      return outcomeFromClaim(reply.result.value as ClaimRow);
    }
    return createFailedOutcome(callProblems.unknown(reason));
  }

  async #cancelClaim(
    claim: ClaimRow,
    reason: string,
    retryAfterMilliseconds: number,
  ): Promise<UnrepeatableOutcome> {
    const reply = await this.#services.control.propose({
      kind: "cancel-claim",
      workspace: claim.workspace,
      key: claim.key,
      claimIndex: claim.claimIndex,
    }, Math.max(this.#remainingMilliseconds(), SETTLE_TIMEOUT_MILLISECONDS));
    if (reply.kind !== "committed") {
      return createFailedOutcome(callProblems.unknown("outcome-not-recorded"));
    }
    const { accepted, value } = reply.result;
    if (!accepted && value !== undefined) {
      return this.#resolveExistingClaim(value as ClaimRow);
    }
    return {
      kind: "not-run",
      problem: callProblems.notRun(reason, retryAfterMilliseconds),
    };
  }

  #createRunRequest(claim: ClaimRow): RunRequest {
    return create(RunRequestSchema, {
      requestId: claim.requestId,
      workspace: this.#call.workspace,
      path: this.#call.path,
      body: this.#call.body,
      contentType: this.#call.contentType,
      deadlineMilliseconds: this.#remainingMilliseconds(),
      priority: this.#call.priority,
      claimKey: formatClaimKey(claim),
      claimIncarnation: claim.incarnation,
      claimIndex: claim.claimIndex,
    });
  }

  #remainingMilliseconds(): number {
    const { deadlineMilliseconds, receivedAt } = this.#call;
    return Math.max(1, receivedAt + deadlineMilliseconds - Date.now());
  }
}

function formatClaimKey(claim: ClaimRow): string {
  return `${claim.workspace}\n${claim.key}`;
}

function createFailedOutcome(problem: Problem): UnrepeatableOutcome {
  return { kind: "failed", problem };
}
