import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** As long as hosts wait for the end of a trial run. */
const TRIAL_MILLISECONDS = 60_000;
const MAX_TRIALS = 1_024;

/**
 * Sees to it that of all gateways only one admits a trial run of a blamed
 * request: the leader permits one at a time.
 */
export class TrialPermits {
  /** Until when no other run is permitted, by the blame's name; oldest first. */
  #blockedUntil = new Map<string, number>();

  /** Whether a trial run may begin now; if so, it begins. */
  tryBegin(name: string): boolean {
    const now = monotonicMilliseconds();
    if (now < (this.#blockedUntil.get(name) ?? -Infinity)) return false;
    this.record(name);
    return true;
  }

  /** Records a trial run that another control host has permitted. */
  record(name: string): void {
    this.#blockedUntil.delete(name);
    this.#blockedUntil.set(name, monotonicMilliseconds() + TRIAL_MILLISECONDS);
    if (this.#blockedUntil.size <= MAX_TRIALS) return;
    this.#blockedUntil.delete(this.#blockedUntil.keys().next().value!);
  }
}
