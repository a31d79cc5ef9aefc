import * as z from "zod";

/** A weight store's manifest of one version; `chunks` are SHA-256, in order. */
export const weightsManifestSchema = z.strictObject({
  name: z.string().min(1).max(128),
  version: z.string().min(1).max(128),
  total_bytes: z.number().int().positive(),
  chunk_bytes: z.number().int().positive(),
  chunks: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).max(65_536),
}).refine(
  (manifest) =>
    manifest.chunks.length ===
      Math.ceil(manifest.total_bytes / manifest.chunk_bytes),
  { message: "chunks must be total_bytes / chunk_bytes, rounded up" },
);
