/** The end of a backend server that another host has seen. */
export type ToldEnd = {
  incarnation: string;
  /** Monotonic milliseconds. */
  at: number;
};
