import type { ChunkSet } from "./chunk_set.ts";

/** A backend server host as the spread's planner knows it. */
export type SpreadHostRow = {
  host: string;
  dataCentre: string;
  /** Where other agents fetch chunks from it. */
  address: string;
  held: ChunkSet;
  /** Whether it fetches by this coordinator's plans. */
  followsPlans: boolean;
  linkBytesPerSecond: number;
  /** It let a transfer pass its time and has said nothing since. */
  isStalled?: boolean;
};
