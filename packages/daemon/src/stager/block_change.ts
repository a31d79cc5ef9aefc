/** Blocks of a version that this host fetched or failed to fetch. */
export type BlockChange = {
  version: string;
  /** Blocks that this host now holds. */
  added: number[];
  /** Blocks whose fetch failed. */
  failed: number[];
};
