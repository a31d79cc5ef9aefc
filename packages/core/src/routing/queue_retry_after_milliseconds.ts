/** Part of the deadline that waiting may take; the rest is for the work. */
const WAIT_SHARE = 0.5;

type Queue = {
  running: number;
  queued: number;
  slots: number;
  /** Mean time of a call lately, milliseconds. */
  serviceMilliseconds: number;
};

/**
 * Decides whether a call may wait in front of a backend server.
 *
 * @returns 0 to take it, or after how many milliseconds to come back. A call
 * that would wait past its use is refused at once: left in the queue it would
 * take a slot from a call that can still be in time.
 */
export function admitToQueue(
  queue: Queue,
  deadlineMilliseconds: number,
): number {
  const { running, queued, slots, serviceMilliseconds } = queue;
  const ahead = Math.max(0, running + queued + 1 - slots);
  const wait = ahead * serviceMilliseconds / slots;
  const allowed = deadlineMilliseconds * WAIT_SHARE;
  return wait > allowed ? Math.max(1, Math.ceil(wait - allowed)) : 0;
}
