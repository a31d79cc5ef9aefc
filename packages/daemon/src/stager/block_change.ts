/** What became of some of a version's blocks on this host. */
export type ChunkChange = {
  version: string;
  added: number[];
  /** Could not be had. */
  failed: number[];
};
