/** When a stream's first event is expected, and of what that is made up. */
export type FirstEventForecast = {
  /** From sending to the first event. */
  milliseconds: number;
  /** Of that, until a slot gets free for it. */
  slotMilliseconds: number;
  /** Of that, until prompts ahead of it and its own have been read. */
  readingMilliseconds: number;
  /** Requests of all callers that are thought to be there. */
  requests: number;
};
