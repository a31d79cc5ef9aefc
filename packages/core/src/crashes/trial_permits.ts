/** As long as hosts wait for the end of a trial run. */
const TRIAL_MILLISECONDS = 60_000;
const MAX_TRIALS = 1_024;

/**
 * Decides which host admits a trial run when the refusal period of a blame is
 * over at hundreds of hosts at the same moment: the first that asks the leader.
 */
export class TrialPermits {
  /** Until when no other run is permitted, by the blame's name; oldest first. */
  #blockedUntil = new Map<string, number>();

  /** Whether a trial run may begin now; if so, it begins. */
  tryBegin(name: string, now: number): boolean {
    if (now < (this.#blockedUntil.get(name) ?? -Infinity)) return false;
    this.record(name, now);
    return true;
  }

  /** Records a trial run that another control host has permitted. */
  record(name: string, now: number): void {
    this.#blockedUntil.delete(name);
    this.#blockedUntil.set(name, now + TRIAL_MILLISECONDS);
    if (this.#blockedUntil.size <= MAX_TRIALS) return;
    this.#blockedUntil.delete(this.#blockedUntil.keys().next().value!);
  }
}
