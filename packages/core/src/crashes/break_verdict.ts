/**
 * Why a break is laid to the end of a process, or isn't.
 *
 * The process has ended:
 * - "refuses": its port refuses connections;
 * - "closes": its port closes connections at once, again and again;
 * - "replaced": a later start at its address was heard of;
 * - "misdirected": another instance answered at its address.
 *
 * It hasn't, or ended for another reason:
 * - "goes-on": it sent more of an answer to a request from before the break;
 * - "answers": it answered a later request, and no later start is known;
 * - "after-end": it had ended before;
 * - "departed": it was to end.
 *
 * "unproved": nothing was heard in time.
 */
export type BreakVerdict =
  | "refuses"
  | "closes"
  | "replaced"
  | "misdirected"
  | "goes-on"
  | "answers"
  | "after-end"
  | "departed"
  | "unproved";
