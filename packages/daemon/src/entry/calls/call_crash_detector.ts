import { blameFromRow } from "@teaselrouter/core/crashes/blame_from_row.ts";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { createHash } from "node:crypto";
import { CrashRecordProposals } from "../../crashes/crash_record_proposals.ts";
import { toBlameFields } from "../../log/to_blame_fields.ts";
import type { EventLog } from "../../log/event_log.ts";
import type { Problem } from "../../http/problem.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import type { Proposer } from "../sessions/proposer.ts";
import type { CheckedCall } from "./checked_call.ts";

/**
 * Within this time, every call that one backend server's end interrupted at
 * this host has been reported.
 */
const DECISION_DELAY_MILLISECONDS = 150;
const EXPIRE_INTERVAL_MILLISECONDS = 10_000;
const FINGERPRINT_HEX_DIGITS = 24;

/** By then an agent has heard of its backend server's next start, or never will. */
const MAX_PROOF_MILLISECONDS = 20_000;
/** Each of calls without a proof, and of proofs without a call. */
const MAX_KEPT_CALLS = 1_024;

type Options = { control: Proposer; log: EventLog };

/** A call that a backend server broke off, whether or not it ended. */
type UnprovedCall = {
  call: CheckedCall;
  /** When the call or its answer began, monotonic milliseconds. */
  begunAt: number;
  /** When it was broken off, monotonic milliseconds. */
  brokenAt: number;
};

/**
 * Detects calls that crash the backend servers which run them, and refuses
 * them. Blames are stored in the replicated tables, so that they reach the
 * other entry hosts and survive a restart.
 */
export class CallCrashDetector {
  #options: Options;
  #ledger = new CrashLedger({
    decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
  });
  /** Fingerprints of the blamed calls in the replicated tables. */
  #replicatedFingerprints = new Set<string>();
  #proposals: CrashRecordProposals;
  /** By request id, oldest first. */
  #unproved = new Map<string, UnprovedCall>();
  /**
   * Incarnations that were proved to have ended under calls that aren't known
   * here as broken off, by request id: another host's, or not yet.
   */
  #provedEarly = new Map<string, string>();
  #decideTimer: NodeJS.Timeout | undefined;
  #expireTimer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    const { control, log } = options;
    this.#proposals = new CrashRecordProposals({
      propose: async (command) =>
        (await control.propose(command)).kind === "committed",
      onDropped: ({ kind }) => log.warn("blame-kept", { kind, kept: false }),
    });
    this.#expireTimer = setInterval(
      () => this.#expire(),
      EXPIRE_INTERVAL_MILLISECONDS,
    );
  }

  stop(): void {
    clearTimeout(this.#decideTimer);
    clearInterval(this.#expireTimer);
    this.#proposals.stop();
  }

  /**
   * Takes over the blames of changed tables: other entry hosts may have blamed
   * or cleared a call.
   */
  applyBlames({ blamedRequests }: ControlState): void {
    const now = {
      timeOfDay: Date.now(),
      monotonic: monotonicMilliseconds(),
    };
    for (const fingerprint of this.#replicatedFingerprints) {
      if (!blamedRequests.has(fingerprint)) this.#ledger.clear(fingerprint);
    }
    this.#replicatedFingerprints = new Set(blamedRequests.keys());
    for (const row of blamedRequests.values()) {
      const blame = blameFromRow(row, now);
      if (blame.endsAt > now.monotonic) this.#ledger.mergeBlame(blame);
    }
  }

  /**
   * Why a call must not be run now; undefined if it may. Once a blame has
   * expired, this lets one call through as a trial and refuses others
   * meanwhile.
   */
  checkBlame(call: CheckedCall): Problem | undefined {
    if (!this.#ledger.hasBlamed) return undefined;
    const now = monotonicMilliseconds();
    const blame = this.#ledger.checkBlame(computeFingerprint(call), now);
    if (blame === undefined) return undefined;
    const { log } = this.#options;
    const fields = { ...toBlameFields(blame, now), outcome: "not-run" };
    log.info("blamed-request-refused", fields);
    return {
      status: 503,
      type: "ends-backend-servers",
      detail: `${blame.crashes} backend servers ended under this call`,
      outcome: "not-run",
      retryAfterMilliseconds: Math.round(blame.endsAt - now),
    };
  }

  /** Whether this host may retry the call without the caller asking again. */
  mayRetry(call: CheckedCall): boolean {
    return this.#ledger.suspectCount === 0 ||
      this.#ledger.mayRetry(computeFingerprint(call));
  }

  /**
   * Records that a backend server broke off a call. It may be proved later that
   * it ended.
   */
  recordBreak(requestId: string, call: CheckedCall, begunAt: number): void {
    const incarnation = this.#provedEarly.get(requestId);
    if (incarnation !== undefined) {
      return this.recordCrash(call, incarnation, begunAt);
    }
    const brokenAt = monotonicMilliseconds();
    setLatest(this.#unproved, requestId, { call, begunAt, brokenAt });
  }

  /** Records the proof that a backend server ended during calls. */
  recordLateEnd(incarnation: string, requestIds: string[]): void {
    for (const requestId of requestIds) {
      const unproved = this.#unproved.get(requestId);
      if (unproved === undefined) {
        setLatest(this.#provedEarly, requestId, incarnation);
        continue;
      }
      this.#unproved.delete(requestId);
      const { call, begunAt, brokenAt } = unproved;
      this.recordCrash(call, incarnation, begunAt, brokenAt);
    }
  }

  #expire(): void {
    const now = monotonicMilliseconds();
    this.#ledger.expire(now);
    for (const [requestId, { brokenAt }] of this.#unproved) {
      if (now - brokenAt > MAX_PROOF_MILLISECONDS) {
        this.#unproved.delete(requestId);
      }
    }
  }

  /**
   * Records that a backend server ended during a call. `begunAt` is when the
   * call or its answer began, `crashedAt` when it was broken off, in monotonic
   * milliseconds.
   */
  recordCrash(
    call: CheckedCall,
    incarnation: string,
    begunAt: number,
    crashedAt = monotonicMilliseconds(),
  ): void {
    const now = monotonicMilliseconds();
    const begunMilliseconds = crashedAt - begunAt;
    const fingerprint = computeFingerprint(call);
    this.#options.log.info("backend-server-ended", {
      instance: incarnation,
      fingerprint,
      begun_milliseconds: Math.round(begunMilliseconds),
    });
    this.#ledger.recordReport(
      { fingerprint, incarnation, begunMilliseconds, crashedAt },
      now,
    );
    this.#scheduleDecision();
  }

  /** Clears the call of suspicion and blame: it has run to its end. */
  recordCompletion(call: CheckedCall): void {
    if (this.#ledger.suspectCount === 0 && !this.#ledger.hasBlamed) return;
    const fingerprint = computeFingerprint(call);
    if (!this.#ledger.clear(fingerprint)) return;
    const isInLog = this.#replicatedFingerprints.has(fingerprint) ||
      this.#proposals.has(fingerprint);
    if (!isInLog) return;
    this.#proposals.add(fingerprint, { kind: "lift-blame", fingerprint });
  }

  #scheduleDecision(): void {
    this.#decideTimer ??= setTimeout(() => {
      this.#decideTimer = undefined;
      const now = monotonicMilliseconds();
      const blames = this.#ledger.blameSuspects(now);
      for (const blame of blames) this.#replicateBlame(blame);
      if (this.#ledger.hasPendingSuspects(now)) this.#scheduleDecision();
    }, DECISION_DELAY_MILLISECONDS);
  }

  /** Logs a new blame and proposes it to the replicated tables. */
  #replicateBlame(blame: Blame): void {
    const { log } = this.#options;
    const fields = toBlameFields(blame, monotonicMilliseconds());
    log.warn("request-blamed", { ...fields, how: "decided" });
    const { endsAt: _endsAt, ...fieldsToStore } = blame;
    this.#proposals.add(blame.fingerprint, {
      kind: "blame-request",
      ...fieldsToStore,
      // The leader replaces this by its own time.
      at: Date.now(),
    });
  }
}

/** Adds an entry; the oldest is forgotten where there are too many. */
function setLatest<Value>(
  entries: Map<string, Value>,
  requestId: string,
  value: Value,
): void {
  entries.set(requestId, value);
  if (entries.size <= MAX_KEPT_CALLS) return;
  entries.delete(entries.keys().next().value!);
}

/**
 * Hashes service, path, workspace and body, so that all attempts of one call
 * have the same fingerprint.
 */
function computeFingerprint(call: CheckedCall): string {
  return createHash("sha256")
    .update(`${call.service}\n${call.path}\n${call.workspace}\n`)
    .update(call.body)
    .digest("hex")
    .slice(0, FINGERPRINT_HEX_DIGITS);
}
