/** How an answer ended: whole, or why not. */
export type AnswerEnd =
  | "whole"
  /** Its connection failed before its end. */
  | "reset"
  /** Its connection was closed, or it was given up, before its end. */
  | "cut-short"
  /** Its event stream was framed to an end that lies within an event. */
  | "inside-event";
