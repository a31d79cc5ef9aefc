/** Fraction of the deadline that waiting may take; the rest is for the work. */
const MAX_WAIT_SHARE = 0.5;

type Queue = {
  running: number;
  queued: number;
  slots: number;
  /** Recent mean time that a call takes, milliseconds. */
  serviceMilliseconds: number;
};

/**
 * Decides whether a call may wait in the queue of a backend server.
 *
 * @returns 0 to admit the call, or the milliseconds after which to retry. A
 * call that would wait for too much of its deadline is refused at once: in the
 * queue it would take a slot from a call that can still finish in time.
 */
export function queueRetryAfterMilliseconds(
  queue: Queue,
  deadlineMilliseconds: number,
): number {
  const { running, queued, slots, serviceMilliseconds } = queue;
  const queuePosition = Math.max(0, running + queued + 1 - slots);
  const wait = queuePosition * serviceMilliseconds / slots;
  const allowed = deadlineMilliseconds * MAX_WAIT_SHARE;
  return wait > allowed ? Math.max(1, Math.ceil(wait - allowed)) : 0;
}
