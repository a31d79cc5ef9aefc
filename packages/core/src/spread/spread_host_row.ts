import type { ChunkSet } from "./chunk_set.ts";

/** The planner's view of one backend server host. */
export type SpreadHostRow = {
  host: string;
  dataCentre: string;
  /** Address from which other agents fetch this host's chunks. */
  address: string;
  /** Blocks that the host holds; see `SpreadTable`. */
  held: ChunkSet;
  /** Whether the host fetches chunks by this coordinator's plans. */
  followsPlans: boolean;
  linkBytesPerSecond: number;
  /** Whether one of its downloads timed out and it has not reported since. */
  isStalled?: boolean;
};
