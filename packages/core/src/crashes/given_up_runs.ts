import { incarnationOf } from "../membership/incarnation_of.ts";
import type { EndedGivenUpRuns } from "./ended_given_up_runs.ts";
import type { GivenUpRun } from "./given_up_run.ts";
import type { ServerStart } from "./server_start.ts";

/** A backend server may go on with a run for so long behind its caller. */
const RUN_ON_MILLISECONDS = 3_000;
/** From an end until it is proved at the latest. */
const MAX_PROOF_MILLISECONDS = 15_000;
/** From the news of a later start until hosts that saw the end have told. */
const TOLD_MILLISECONDS = 500;
const MAX_RUNS = 4_096;
/** At one end, those that began last: earlier ones had outlived more. */
const MAX_RUNS_PER_END = 16;

/**
 * Keeps what this host has given up at backend servers: a run can go on behind
 * its caller and crash what runs it, while nobody waits for its answer any more.
 * Load pattern: callers of harmful requests that leave before the crash, among
 * hundreds of sound ones that leave as well.
 */
export class GivenUpRuns<Run> {
  /** By incarnation, in the order in which they were given up. */
  #runs = new Map<string, GivenUpRun<Run>[]>();
  #size = 0;
  /** When a later start was heard of, by incarnation. */
  #replacedAt = new Map<string, number>();

  get size(): number {
    return this.#size;
  }

  add(given: GivenUpRun<Run>): void {
    const incarnation = incarnationOf(given.announcement);
    const known = this.#runs.get(incarnation) ?? [];
    this.#runs.set(incarnation, known);
    known.push(given);
    this.#size += 1;
    if (this.#size > MAX_RUNS) this.#forgetOldest();
  }

  /**
   * Removes the runs at one start of a backend server, and returns those that
   * may have been going on when it ended.
   */
  takeEnded(incarnation: string, endedAt: number): GivenUpRun<Run>[] {
    const runs = this.#remove(incarnation);
    return runs
      .filter(({ sentAt, givenUpAt }) =>
        sentAt < endedAt && endedAt - givenUpAt <= RUN_ON_MILLISECONDS
      )
      .sort((left, right) => right.begunAt - left.begunAt)
      .slice(0, MAX_RUNS_PER_END);
  }

  /** A process was heard to have started. */
  recordStart({ address, bornAt }: ServerStart, now: number): void {
    for (const [incarnation, [first]] of this.#runs) {
      const { announcement } = first!;
      if (announcement.address !== address) continue;
      if (announcement.bornAt >= bornAt) continue;
      if (!this.#replacedAt.has(incarnation)) {
        this.#replacedAt.set(incarnation, now);
      }
    }
  }

  /**
   * Removes the runs at backend servers that have been replaced, of whose end no
   * host has told. As it isn't known when they ended, it is taken to be when the
   * latest of the runs was given up: sound answers that began later speak for
   * what they share.
   */
  takeReplaced(now: number): EndedGivenUpRuns<Run>[] {
    return [...this.#replacedAt]
      .filter(([, replacedAt]) => now - replacedAt >= TOLD_MILLISECONDS)
      .flatMap(([incarnation]) => {
        const at = this.#runs.get(incarnation)?.at(-1)?.givenUpAt ?? now;
        const runs = this.takeEnded(incarnation, at);
        return runs.length === 0 ? [] : [{ at, runs }];
      });
  }

  /** Forgets runs that no proof of an end concerns any more. */
  expire(now: number): void {
    const oldest = now - RUN_ON_MILLISECONDS - MAX_PROOF_MILLISECONDS;
    for (const [incarnation, runs] of this.#runs) {
      const left = runs.filter(({ givenUpAt }) => givenUpAt >= oldest);
      this.#size -= runs.length - left.length;
      if (left.length === 0) this.#forget(incarnation);
      else this.#runs.set(incarnation, left);
    }
  }

  #remove(incarnation: string): GivenUpRun<Run>[] {
    const runs = this.#runs.get(incarnation) ?? [];
    this.#size -= runs.length;
    this.#forget(incarnation);
    return runs;
  }

  #forget(incarnation: string): void {
    this.#runs.delete(incarnation);
    this.#replacedAt.delete(incarnation);
  }

  #forgetOldest(): void {
    const [incarnation, runs] = this.#runs.entries().next().value!;
    runs.shift();
    this.#size -= 1;
    if (runs.length === 0) this.#forget(incarnation);
  }
}
