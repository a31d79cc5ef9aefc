import type { ReportedLoad } from "./reported_load.ts";

/** Information in a backend server's response headers that gateways use. */
export type AnswerMetadata = {
  /** Id of the attempt that this is the response to; undefined if missing. */
  id: string | undefined;
  /** Instance that the response names as its own; undefined if it names none. */
  instance: string | undefined;
  /** Whether the response states that the request has not run and won't run. */
  isNotRun: boolean;
  /**
   * Whether the response carries a signature, which marks it as the backend
   * server's own.
   */
  isSigned: boolean;
  /**
   * Version of the weights that generation started with; undefined if not
   * stated.
   */
  weightsVersion: number | undefined;
  /**
   * Requests per second that the backend server accepts from all hosts
   * together; undefined if the response states no limit, which ends an earlier
   * limit only if `isSigned`.
   */
  limitPerSecond: number | undefined;
  /**
   * Time in which this host must not send the backend server another request,
   * milliseconds; undefined if the response, a rejection, names none.
   */
  requestedPause: number | "unreadable" | undefined;
  /** Whether the backend server says that it is shutting down. */
  isShuttingDown: boolean;
  /** Fields that were ignored, in part or whole, with their values. */
  unreadableFields: readonly string[];
  /** Undefined if not reported. */
  load: ReportedLoad | undefined;
};
