import { ChunkSet } from "@teaselrouter/core/spread/chunk_set.ts";
import { WeightBlocks } from "@teaselrouter/core/spread/weight_blocks.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

type Version = {
  manifest: WeightsManifest;
  blocks: WeightBlocks;
  held: ChunkSet;
  chunks: (Buffer | undefined)[];
};

/** The weights that this host holds, by version; every chunk is verified. */
export class WeightsCache {
  #versions = new Map<string, Version>();

  /** Begins a version, with the chunks that other versions have in common. */
  begin(manifest: WeightsManifest): ChunkSet {
    const name = versionName(manifest);
    const known = this.#versions.get(name);
    if (known !== undefined) return known.held;
    const version: Version = {
      manifest,
      blocks: new WeightBlocks(manifest),
      held: new ChunkSet(manifest.chunks.length),
      chunks: new Array(manifest.chunks.length),
    };
    const byDigest = this.#chunksByDigest();
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

  /** Blocks of a version that are whole here; none of one not begun. */
  wholeBlocks(version: string): number[] {
    const known = this.#versions.get(version);
    return known === undefined ? [] : known.blocks.wholeIn(known.held);
  }

  held(version: string): ChunkSet | undefined {
    return this.#versions.get(version)?.held;
  }

  isComplete(version: string): boolean {
    return this.#versions.get(version)?.held.isComplete ?? false;
  }

  chunk(version: string, chunk: number): Buffer | undefined {
    return this.#versions.get(version)?.chunks[chunk];
  }

  /** Takes a chunk in if its digest is the manifest's. */
  add(version: string, chunk: number, bytes: Buffer): boolean {
    const entry = this.#versions.get(version);
    const digest = createHash("sha256").update(bytes).digest("hex");
    if (entry?.manifest.chunks[chunk] !== digest) return false;
    entry.chunks[chunk] = bytes;
    entry.held.add(chunk);
    return true;
  }

  /** Drops every version but these. */
  keep(versions: Set<string>): void {
    for (const name of [...this.#versions.keys()]) {
      if (!versions.has(name)) this.#versions.delete(name);
    }
  }

  versions(): string[] {
    return [...this.#versions.keys()];
  }

  #chunksByDigest(): Map<string, Buffer> {
    const found = new Map<string, Buffer>();
    for (const { manifest, chunks } of this.#versions.values()) {
      chunks.forEach((bytes, chunk) => {
        if (bytes !== undefined) found.set(manifest.chunks[chunk]!, bytes);
      });
    }
    return found;
  }
}
