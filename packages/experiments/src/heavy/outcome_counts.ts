/** Calls of one group by outcome; those served are timely or late. */
export type OutcomeCounts = { calls: number; timely: number; served: number };
