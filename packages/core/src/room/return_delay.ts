type Refusal = {
  /** When its turn would come if it waited, milliseconds from now. */
  turnMilliseconds: number;
  patienceLeftMilliseconds: number;
  /** Position of its urgency among those known, 0 for the most urgent. */
  order: number;
  /** Number of urgencies known. */
  urgencies: number;
  /** Uniform in [0, 1). */
  random: number;
};

/** Callers wait at most a third of their patience; the rest is a margin. */
const MAX_DELAY_SHARE = 0.31;
/** Earliest return, as a share of the latest. */
const MAX_EARLIEST_SHARE = 0.5;

/**
 * Delay after which a request that was refused for want of room should come
 * back, milliseconds: from when its turn is forecast up to the longest delay
 * that callers accept. Each urgency gets its own part of that time, the most
 * urgent the first, and its requests return spread evenly over it.
 */
export function returnDelay(refusal: Refusal): number {
  const { turnMilliseconds, order, urgencies, random } = refusal;
  const latest = MAX_DELAY_SHARE * refusal.patienceLeftMilliseconds;
  const earliest = Math.min(turnMilliseconds, MAX_EARLIEST_SHARE * latest);
  const position = (Math.max(0, order) + random) / Math.max(1, urgencies);
  return earliest + position * (latest - earliest);
}
