/** What a backend server's answer says besides status and body. */
export type AnswerFacts = {
  /** The attempt that it answers; undefined when it does not say. */
  id: string | undefined;
  /** It says that the request has not run and won't. */
  isNotRun: boolean;
  /** Marks an answer as the backend server's own. */
  isSigned: boolean;
  /** Version of the weights that it began on. */
  weightsVersion: number | undefined;
  /** Requests a second that it takes from all hosts; undefined for any. */
  limitPerSecond: number | undefined;
  load: { running: number; waiting: number; slots: number } | undefined;
};
