/**
 * One chunk, in fact one block (see `SpreadTable`), that a host is to fetch.
 */
export type ChunkAssignment = {
  host: string;
  chunk: number;
  /** Host to fetch from; empty for the origin. */
  source: string;
};
