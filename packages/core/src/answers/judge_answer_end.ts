import type { AnswerEnd } from "./answer_end.ts";
import type { AnswerFraming } from "./answer_framing.ts";

type Ended = {
  framing: AnswerFraming;
  /** Whether all was read that the framing announced. */
  isFramingComplete: boolean;
  /** Whether the connection failed instead of being closed. */
  hasConnectionFailed: boolean;
  /** False also for what is no event stream. */
  isInsideEvent: boolean;
};

/**
 * Judges whether an answer that has ended is whole, for all ways into the
 * product.
 *
 * When many backend servers crash under load, their answers end in every way
 * that a connection can: a reset, a regular close, or a proper last chunk that
 * the operating system or a library still sends. Framing alone then takes a
 * stream for whole that stopped within an event. An answer that only its
 * connection frames is complete by the framing however that connection ended.
 */
export function judgeAnswerEnd(ended: Ended): AnswerEnd {
  const { framing, isFramingComplete, hasConnectionFailed } = ended;
  if (!isFramingComplete) return hasConnectionFailed ? "reset" : "cut-short";
  if (framing === "connection" && hasConnectionFailed) return "reset";
  return ended.isInsideEvent ? "inside-event" : "whole";
}
