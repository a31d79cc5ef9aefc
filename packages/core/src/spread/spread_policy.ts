import type { ChunkAssignment } from "./chunk_assignment.ts";
import type { SpreadTable } from "./spread_table.ts";

/** Decides who fetches which chunk from whom next. */
export interface SpreadPolicy {
  plan(table: SpreadTable, now: number): ChunkAssignment[];
}
