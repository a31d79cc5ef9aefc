/** What the weight store process is told, as JSON in a file. */
export type StorePlan = {
  address: string;
  bytesPerSecond: number;
  name: string;
  totalBytes: number;
  chunkBytes: number;
  commonChunks: number;
};
