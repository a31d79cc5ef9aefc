/** What a host hears of the start of a process at an address. */
export type ServerStart = {
  address: string;
  /** Undefined where it is told by whoever doesn't know it. */
  instance: string | undefined;
  /** Unix milliseconds, by the backend server's clock. */
  bornAt: number;
};
