import type { Command } from "@teaselrouter/core/state/command.ts";
import {
  firstValueFrom,
  merge,
  type Observable,
  Subject,
  type Subscription,
  timer,
} from "rxjs";

const PROPOSAL_INTERVAL_MILLISECONDS = 500;
/** As many as the replicated tables hold of blames. */
const MAX_PENDING_CHANGES = 256;

type Options = {
  /** Resolves to whether the command was committed. */
  propose: (command: Command) => Promise<boolean>;
  onCommitted?: (command: Command) => void;
  /** Called with a change that is given up, as too many are pending. */
  onDropped: (command: Command) => void;
  /** Emits when another leader, or none, is known. */
  leadership$?: Observable<void>;
};

/**
 * Proposes changes to what the replicated tables hold about requests that crash
 * backend servers, each until the log has it or a later change concerns the same
 * request. A single proposal is given up soon when there is no leader, and no
 * other host would make it. The next follows at once when a leader is known: all
 * hosts may lose power soon after.
 */
export class CrashRecordProposals {
  #options: Options;
  /** The latest change to each request's record, by fingerprint. */
  #pending = new Map<string, Command>();
  /** Fingerprints of requests of which a change is being proposed. */
  #inProgress = new Set<string>();
  #leaderChanges = 0;
  #leaderChanged$ = new Subject<void>();
  #subscription: Subscription | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#subscription = options.leadership$?.subscribe(() => {
      this.#leaderChanges += 1;
      this.#leaderChanged$.next();
    });
  }

  stop(): void {
    this.#subscription?.unsubscribe();
    this.#pending.clear();
  }

  has(fingerprint: string): boolean {
    return this.#pending.has(fingerprint);
  }

  add(fingerprint: string, command: Command): void {
    this.#pending.delete(fingerprint);
    this.#pending.set(fingerprint, command);
    this.#dropOldest();
    if (!this.#inProgress.has(fingerprint)) this.#propose(fingerprint);
  }

  /**
   * Proposes one change of a request at a time, so that the log gets them in
   * order.
   */
  async #propose(fingerprint: string): Promise<void> {
    this.#inProgress.add(fingerprint);
    while (true) {
      const command = this.#pending.get(fingerprint);
      if (command === undefined) break;
      const leaderChanges = this.#leaderChanges;
      const isCommitted = await this.#options.propose(command);
      if (this.#pending.get(fingerprint) !== command) continue;
      if (isCommitted) {
        this.#pending.delete(fingerprint);
        this.#options.onCommitted?.(command);
      } else if (leaderChanges === this.#leaderChanges) {
        await this.#waitForLeaderChange();
      }
    }
    this.#inProgress.delete(fingerprint);
  }

  /** Waits for a change of the leader, at most the usual interval. */
  async #waitForLeaderChange(): Promise<void> {
    await firstValueFrom(
      merge(timer(PROPOSAL_INTERVAL_MILLISECONDS), this.#leaderChanged$),
    );
  }

  #dropOldest(): void {
    if (this.#pending.size <= MAX_PENDING_CHANGES) return;
    const [fingerprint, command] = this.#pending.entries().next().value!;
    this.#pending.delete(fingerprint);
    this.#options.onDropped(command);
  }
}
