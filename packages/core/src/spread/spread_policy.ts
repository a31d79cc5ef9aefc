import type { ChunkAssignment } from "./chunk_assignment.ts";
import type { SpreadTable } from "./spread_table.ts";

/** Decides which hosts fetch which chunks next, and from which sources. */
export interface SpreadPolicy {
  plan(table: SpreadTable, now: number): ChunkAssignment[];
}
