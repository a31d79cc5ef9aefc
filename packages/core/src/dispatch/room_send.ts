/** A request that is sent to a backend server. */
export type RoomSend = {
  service: string;
  instance: string;
  urgency: number;
  /** In the backend server's queue. */
  rank: number;
  promptTokens: number;
  /** Monotonic milliseconds. */
  now: number;
};
