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
import { callProblems } from "./call_problems.ts";
import type { CallCrashes } from "./call_crashes.ts";
import type { CheckedCall } from "./checked_call.ts";
import { ExchangeReader } from "./exchange_reader.ts";
import type { Problem } from "../../http/problem.ts";
import type { Proposer } from "../sessions/proposer.ts";
import { recordedOutcome } from "./recorded_outcome.ts";
import type { UnrepeatableAnswer } from "./unrepeatable_answer.ts";
import type { UnrepeatableOutcome } from "./unrepeatable_outcome.ts";

const MOST_CLAIMS = 4;
const SETTLE_MILLISECONDS = 2_000;
const MOST_KEPT_BYTES = 65_536;

type Services = {
  control: Proposer;
  router: Router;
  table: BackendServerTable;
  clients: ClientPool;
  crashes: CallCrashes;
};

/**
 * One call that may not be repeated. It is claimed in the replicated log for
 * one agent process before it leaves, and its outcome is recorded there
 * before the caller sees it. "Not run" is said only when nothing was claimed
 * or the agent has confirmed that it never will run.
 */
export class UnrepeatableCall {
  #services: Services;
  #call: CheckedCall;
  #bodyDigest: string;
  #given = new AbortController();

  constructor(services: Services, call: CheckedCall) {
    this.#services = services;
    this.#call = call;
    this.#bodyDigest = createHash("sha256")
      .update(`${call.path}\n`).update(call.body).digest("hex");
  }

  async run(): Promise<UnrepeatableOutcome> {
    const timer = setTimeout(() => this.#given.abort(), this.#remaining());
    try {
      return await this.#claimAndRun();
    } finally {
      clearTimeout(timer);
    }
  }

  async #claimAndRun(): Promise<UnrepeatableOutcome> {
    let outcome: UnrepeatableOutcome = failed(
      callProblems.notRun("overloaded", 1_000),
    );
    for (let claims = 0; claims < MOST_CLAIMS; claims += 1) {
      outcome = await this.#claimOnce();
      if (outcome.kind !== "not-run") return outcome;
      if (this.#given.signal.aborted) return outcome;
    }
    return outcome;
  }

  async #claimOnce(): Promise<UnrepeatableOutcome> {
    const { control, router } = this.#services;
    const decision = router.route(control.state, {
      service: this.#call.service,
      prefix: "",
      deadlineMilliseconds: this.#remaining(),
      tried: new Set(),
      now: Date.now(),
    });
    if (decision.kind === "refuse") {
      return failed(
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
      at: 0,
    }, this.#remaining());
    if (reply.kind === "not-proposed") {
      return failed(callProblems.notRun("no-leader", 1_000));
    }
    if (reply.kind === "unknown") {
      return failed(callProblems.unknown("claim-not-confirmed"));
    }
    const { accepted, reason, value } = reply.answer;
    const claim = value as ClaimRow;
    // A claim that had to be proposed twice meets itself.
    if (accepted || claim.requestId === requestId) {
      return this.#runClaimed(claim, row);
    }
    if (reason === "key-used-for-another-call") {
      return failed(callProblems.keyReused());
    }
    return this.#resolveStanding(claim);
  }

  async #runClaimed(
    claim: ClaimRow,
    row: BackendServerRow,
  ): Promise<UnrepeatableOutcome> {
    row.ownInFlight += 1;
    try {
      return await this.#read(claim, row, false);
    } finally {
      row.ownInFlight -= 1;
    }
  }

  async #read(
    claim: ClaimRow,
    row: BackendServerRow,
    attachOnly: boolean,
  ): Promise<UnrepeatableOutcome> {
    const reader = new ExchangeReader({
      clients: this.#services.clients,
      address: row.internalAddress,
      request: this.#request(claim),
      signal: this.#given.signal,
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
          this.#services.crashes.noteGoodEnd(this.#call);
          return this.#record(claim, { ...head, body: Buffer.concat(parts) });
        case "refused":
          if (part.endedIncarnation !== "") {
            const { crashes } = this.#services;
            crashes.noteEnd(this.#call, part.endedIncarnation, begunAt);
          }
          if (part.outcome === "not-run") {
            return this.#cancel(
              claim,
              part.reason,
              part.retryAfterMilliseconds,
            );
          }
          return this.#recordUnknown(claim, part.reason);
        case "broken":
          return this.#resolveStanding(claim);
      }
    }
    return failed(callProblems.unknown("deadline-exceeded"));
  }

  /** The key stands already, or its answer was lost on the way. */
  async #resolveStanding(claim: ClaimRow): Promise<UnrepeatableOutcome> {
    if (claim.state !== "claimed") return recordedOutcome(claim);
    const row = this.#services.table.get(claim.backendServer);
    if (row === undefined) {
      return failed(callProblems.unknown("backend-server-unreachable"));
    }
    if (row.incarnation !== claim.incarnation) {
      // The process that alone knew is gone; what it did can't be learned.
      return this.#recordUnknown(claim, "backend-server-restarted");
    }
    const settled = await this.#services.clients
      .client(CallService, row.internalAddress)
      .settleClaim({
        claimKey: claimKeyOf(claim),
        claimIndex: claim.claimIndex,
      }, { timeoutMs: SETTLE_MILLISECONDS })
      .catch(() => undefined);
    if (settled === undefined || settled.incarnation !== claim.incarnation) {
      return failed(callProblems.unknown("backend-server-unreachable"));
    }
    if (settled.tombstoned) return this.#cancel(claim, "never-run", 100);
    return this.#read(claim, row, true);
  }

  async #record(
    claim: ClaimRow,
    answer: UnrepeatableAnswer,
  ): Promise<UnrepeatableOutcome> {
    const kept = answer.body.length <= MOST_KEPT_BYTES;
    const reply = await this.#services.control.propose({
      kind: "settle-claim",
      workspace: claim.workspace,
      key: claim.key,
      claimIndex: claim.claimIndex,
      outcome: "ran",
      status: answer.status,
      contentType: kept ? answer.contentType : "",
      answer: kept ? answer.body.toString("base64") : "",
    }, this.#remaining());
    if (reply.kind !== "committed") {
      return failed(callProblems.unknown("outcome-not-recorded"));
    }
    if (!kept && reply.answer.accepted) return { kind: "answered", answer };
    return recordedOutcome(reply.answer.value as ClaimRow);
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
    }, this.#remaining());
    if (reply.kind === "committed" && reply.answer.accepted) {
      return recordedOutcome(reply.answer.value as ClaimRow);
    }
    return failed(callProblems.unknown(reason));
  }

  async #cancel(
    claim: ClaimRow,
    reason: string,
    retryAfterMilliseconds: number,
  ): Promise<UnrepeatableOutcome> {
    const reply = await this.#services.control.propose({
      kind: "cancel-claim",
      workspace: claim.workspace,
      key: claim.key,
      claimIndex: claim.claimIndex,
    }, Math.max(this.#remaining(), SETTLE_MILLISECONDS));
    if (reply.kind !== "committed") {
      return failed(callProblems.unknown("outcome-not-recorded"));
    }
    const { accepted, value } = reply.answer;
    if (!accepted && value !== undefined) {
      return this.#resolveStanding(value as ClaimRow);
    }
    return {
      kind: "not-run",
      problem: callProblems.notRun(reason, retryAfterMilliseconds),
    };
  }

  #request(claim: ClaimRow): RunRequest {
    return create(RunRequestSchema, {
      requestId: claim.requestId,
      workspace: this.#call.workspace,
      path: this.#call.path,
      body: this.#call.body,
      contentType: this.#call.contentType,
      deadlineMilliseconds: this.#remaining(),
      priority: this.#call.priority,
      claimKey: claimKeyOf(claim),
      claimIncarnation: claim.incarnation,
      claimIndex: claim.claimIndex,
    });
  }

  #remaining(): number {
    const { deadlineMilliseconds, receivedAt } = this.#call;
    return Math.max(1, receivedAt + deadlineMilliseconds - Date.now());
  }
}

function claimKeyOf(claim: ClaimRow): string {
  return `${claim.workspace}\n${claim.key}`;
}

function failed(problem: Problem): UnrepeatableOutcome {
  return { kind: "failed", problem };
}
