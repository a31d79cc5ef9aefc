/** A timer that is set for longer fires at once. */
const MAX_TIMER_MILLISECONDS = 2_147_483_647;

/** Limits a duration to what a timer can wait, some 24 days. */
export function clampTimer(milliseconds: number): number {
  return Math.min(milliseconds, MAX_TIMER_MILLISECONDS);
}
