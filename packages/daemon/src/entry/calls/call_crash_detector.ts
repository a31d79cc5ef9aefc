import { blameOfRow } from "@teaselrouter/core/crashes/blame_of_row.ts";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { createHash } from "node:crypto";
import { blameFields } from "../../log/blame_fields.ts";
import type { EventLog } from "../../log/event_log.ts";
import type { Problem } from "../../http/problem.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import type { Proposer } from "../sessions/proposer.ts";
import type { CheckedCall } from "./checked_call.ts";

/** What one end breaks off at this host is known within so long. */
const SETTLE_MILLISECONDS = 150;
const EXPIRE_MILLISECONDS = 10_000;
const FINGERPRINT_DIGITS = 24;

type Options = { control: Proposer; log: EventLog };

/**
 * An entry host's part in finding calls that end what runs them. Blames go to
 * the other entry hosts, and over a restart, by the replicated tables.
 */
export class CallCrashes {
  #options: Options;
  #ledger = new CrashLedger({ settleMilliseconds: SETTLE_MILLISECONDS });
  /** Blames that the tables hold, by fingerprint. */
  #kept = new Set<string>();
  #decideTimer: NodeJS.Timeout | undefined;
  #expireTimer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.#expireTimer = setInterval(
      () => this.#ledger.expire(monotonicMilliseconds()),
      EXPIRE_MILLISECONDS,
    );
  }

  stop(): void {
    clearTimeout(this.#decideTimer);
    clearInterval(this.#expireTimer);
  }

  /** The tables changed: others may have blamed a call, or cleared one. */
  follow({ blamedRequests }: ControlState): void {
    const now = {
      timeOfDay: Date.now(),
      monotonic: monotonicMilliseconds(),
    };
    for (const fingerprint of this.#kept) {
      if (!blamedRequests.has(fingerprint)) this.#ledger.clear(fingerprint);
    }
    this.#kept = new Set(blamedRequests.keys());
    for (const row of blamedRequests.values()) {
      const blame = blameOfRow(row, now);
      if (blame.endsAt > now.monotonic) this.#ledger.learn(blame);
    }
  }

  /** Why a call is not to be run now; undefined where it may. */
  refusal(call: CheckedCall): Problem | undefined {
    if (!this.#ledger.hasBlamed) return undefined;
    const now = monotonicMilliseconds();
    const blame = this.#ledger.refusal(fingerprintOf(call), now);
    if (blame === undefined) return undefined;
    const { log } = this.#options;
    const fields = { ...blameFields(blame, now), outcome: "not-run" };
    log.info("blamed-request-refused", fields);
    return {
      status: 503,
      type: "ends-backend-servers",
      detail: `${blame.crashes} backend servers ended under this call`,
      outcome: "not-run",
      retryAfterMilliseconds: Math.round(blame.endsAt - now),
    };
  }

  /** Whether this host may send it once more of its own accord. */
  maySendAgain(call: CheckedCall): boolean {
    return this.#ledger.suspectCount === 0 ||
      this.#ledger.maySendAgain(fingerprintOf(call));
  }

  /** A backend server ended under a call; `begunAt` is monotonic. */
  noteEnd(
    call: CheckedCall,
    incarnation: string,
    begunAt: number,
  ): void {
    const now = monotonicMilliseconds();
    const begunMilliseconds = now - begunAt;
    const fingerprint = fingerprintOf(call);
    this.#options.log.info("backend-server-ended", {
      instance: incarnation,
      fingerprint,
      begun_milliseconds: Math.round(begunMilliseconds),
    });
    this.#ledger.report({ fingerprint, incarnation, begunMilliseconds }, now);
    this.#decideSoon();
  }

  noteGoodEnd(call: CheckedCall): void {
    if (this.#ledger.suspectCount === 0 && !this.#ledger.hasBlamed) return;
    const fingerprint = fingerprintOf(call);
    if (!this.#ledger.clear(fingerprint)) return;
    if (!this.#kept.has(fingerprint)) return;
    this.#options.control.propose({ kind: "lift-blame", fingerprint });
  }

  #decideSoon(): void {
    this.#decideTimer ??= setTimeout(() => {
      this.#decideTimer = undefined;
      const blames = this.#ledger.decide(monotonicMilliseconds());
      for (const blame of blames) this.#keep(blame);
      if (this.#ledger.isUndecided) this.#decideSoon();
    }, SETTLE_MILLISECONDS);
  }

  #keep(blame: Blame): void {
    const { control, log } = this.#options;
    const fields = blameFields(blame, monotonicMilliseconds());
    log.warn("request-blamed", { ...fields, how: "decided" });
    const { endsAt: _endsAt, ...kept } = blame;
    control.propose({ kind: "blame-request", ...kept, at: Date.now() });
  }
}

/** The same for all attempts of one call: service, path, caller and body. */
function fingerprintOf(call: CheckedCall): string {
  return createHash("sha256")
    .update(`${call.service}\n${call.path}\n${call.workspace}\n`)
    .update(call.body)
    .digest("hex")
    .slice(0, FINGERPRINT_DIGITS);
}
