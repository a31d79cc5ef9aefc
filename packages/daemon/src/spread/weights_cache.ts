import { ChunkSet } from "@teaselrouter/core/spread/chunk_set.ts";
import { WeightBlocks } from "@teaselrouter/core/spread/weight_blocks.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

type CachedVersion = {
  manifest: WeightsManifest;
  blocks: WeightBlocks;
  held: ChunkSet;
  chunks: (Buffer | undefined)[];
};

/** The weights that this host holds, by version; every chunk is verified. */
export class WeightsCache {
  #versions = new Map<string, CachedVersion>();

  /**
   * Adds a version, together with the chunks that it shares with versions
   * already held. Returns the set of held chunks, which later additions
   * update. A version that is already known stays as it is.
   */
  begin(manifest: WeightsManifest): ChunkSet {
    const name = versionName(manifest);
    const known = this.#versions.get(name);
    if (known !== undefined) return known.held;
    const version: CachedVersion = {
      manifest,
      blocks: new WeightBlocks(manifest),
      held: new ChunkSet(manifest.chunks.length),
      chunks: new Array(manifest.chunks.length),
    };
    const byDigest = this.#indexByDigest();
    manifest.chunks.forEach((digest, chunk) => {
      const bytes = byDigest.get(digest);
      if (bytes === undefined) return;
      version.chunks[chunk] = bytes;
      version.held.add(chunk);
    });
    this.#versions.set(name, version);
    return version.held;
  }

  manifest(version: string): WeightsManifest | undefined {
    return this.#versions.get(version)?.manifest;
  }

  blocks(version: string): WeightBlocks | undefined {
    return this.#versions.get(version)?.blocks;
  }

  /**
   * Blocks of a version of which every chunk is held; empty for a version that
   * is not in the cache.
   */
  listCompleteBlocks(version: string): number[] {
    const known = this.#versions.get(version);
    return known === undefined ? [] : known.blocks.completeBlocks(known.held);
  }

  heldChunks(version: string): ChunkSet | undefined {
    return this.#versions.get(version)?.held;
  }

  isComplete(version: string): boolean {
    return this.#versions.get(version)?.held.isComplete ?? false;
  }

  chunk(version: string, chunk: number): Buffer | undefined {
    return this.#versions.get(version)?.chunks[chunk];
  }

  /**
   * Stores a chunk if its SHA-256 digest matches the manifest's; returns
   * whether it does.
   */
  add(version: string, chunk: number, bytes: Buffer): boolean {
    const entry = this.#versions.get(version);
    const digest = createHash("sha256").update(bytes).digest("hex");
    if (entry?.manifest.chunks[chunk] !== digest) return false;
    entry.chunks[chunk] = bytes;
    entry.held.add(chunk);
    return true;
  }

  /** Drops all versions except these. */
  retainOnly(versions: Set<string>): void {
    for (const name of [...this.#versions.keys()]) {
      if (!versions.has(name)) this.#versions.delete(name);
    }
  }

  versions(): string[] {
    return [...this.#versions.keys()];
  }

  #indexByDigest(): Map<string, Buffer> {
    const found = new Map<string, Buffer>();
    for (const { manifest, chunks } of this.#versions.values()) {
      chunks.forEach((bytes, chunk) => {
        if (bytes !== undefined) found.set(manifest.chunks[chunk]!, bytes);
      });
    }
    return found;
  }
}
