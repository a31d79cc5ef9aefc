import type { Buffer } from "node:buffer";
import { seededBytes } from "./seeded_bytes.ts";

const VERSION_SEED_STRIDE = 7_919;

type Shape = {
  version: string;
  totalBytes: number;
  chunkBytes: number;
  /** Number of chunks at the start that are the same in every version. */
  commonChunks: number;
};

function computeVersionSeed(version: string): number {
  return [...version].reduce(
    (sum, letter) => sum * 31 + letter.charCodeAt(0),
    1,
  );
}

/** Generates the chunks of one version's weights, the same in every call. */
export function generateWeights(shape: Shape): Buffer[] {
  const chunks: Buffer[] = [];
  const count = Math.ceil(shape.totalBytes / shape.chunkBytes);
  for (let chunk = 0; chunk < count; chunk += 1) {
    const length = Math.min(
      shape.chunkBytes,
      shape.totalBytes - chunk * shape.chunkBytes,
    );
    const versionSeed = chunk < shape.commonChunks
      ? 0
      : computeVersionSeed(shape.version);
    chunks.push(
      seededBytes(versionSeed * VERSION_SEED_STRIDE + chunk + 1, length),
    );
  }
  return chunks;
}
