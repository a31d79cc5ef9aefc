/** Arguments of run_store.ts, which reads them from a JSON file. */
export type StorePlan = {
  address: string;
  bytesPerSecond: number;
  name: string;
  totalBytes: number;
  chunkBytes: number;
  commonChunks: number;
};
