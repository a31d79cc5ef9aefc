/** One chunk that one host is to fetch. */
export type ChunkAssignment = {
  host: string;
  chunk: number;
  /** Host to fetch from; empty for the origin. */
  source: string;
};
