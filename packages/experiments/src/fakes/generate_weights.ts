import type { Buffer } from "node:buffer";
import { seededBytes } from "./seeded_bytes.ts";

const SEED_PER_CHUNK = 7_919;

type Shape = {
  version: string;
  totalBytes: number;
  chunkBytes: number;
  /** Chunks at the start that are the same in every version. */
  commonChunks: number;
};

function seedOf(version: string): number {
  return [...version].reduce(
    (sum, letter) => sum * 31 + letter.charCodeAt(0),
    1,
  );
}

/** Makes one version's weights, chunk by chunk, the same each time. */
export function weightsOf(shape: Shape): Buffer[] {
  const chunks: Buffer[] = [];
  const count = Math.ceil(shape.totalBytes / shape.chunkBytes);
  for (let chunk = 0; chunk < count; chunk += 1) {
    const length = Math.min(
      shape.chunkBytes,
      shape.totalBytes - chunk * shape.chunkBytes,
    );
    const own = chunk < shape.commonChunks ? 0 : seedOf(shape.version);
    chunks.push(seededBytes(own * SEED_PER_CHUNK + chunk + 1, length));
  }
  return chunks;
}
