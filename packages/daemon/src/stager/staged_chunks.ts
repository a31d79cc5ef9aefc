import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import { createHash } from "node:crypto";
import type { WeightsCache } from "../spread/weights_cache.ts";
import type { EventLog } from "../log/event_log.ts";
import type { ModelEngine } from "../platform/model_engine.ts";
import { forEachConcurrently } from "./for_each_concurrently.ts";

/**
 * The engine's host answers reads from memory, so a read is mostly waiting for
 * the response and several can overlap.
 */
const MAX_CONCURRENT_READS = 6;

type Options = { engine: ModelEngine; cache: WeightsCache; log: EventLog };

/**
 * The chunks in the engine's staging area, from which the engine loads. The
 * area holds one copy of the weights for each model.
 */
export class StagedChunks {
  #options: Options;
  /** Chunks of `#version` that are known to be in the staging area. */
  #written = new Set<number>();
  #version = "";
  /** Whether chunks staged before this process started were read back. */
  #isRecovered = false;

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Copies the staged chunks that match the manifest into the cache, and
   * returns their numbers. Does so only once: afterwards the staging area
   * holds only chunks written from the cache. If the staged chunks can't be
   * listed, returns none, and the next call tries again.
   */
  async recover(manifest: WeightsManifest): Promise<number[]> {
    if (this.#isRecovered) return [];
    const { engine, cache, log } = this.#options;
    const version = versionName(manifest);
    const staged = await engine.listStagedChunks(manifest.name);
    if (staged.isErr) {
      log.warn("staged-chunks-unreadable", { reason: staged.error });
      return [];
    }
    this.#isRecovered = true;
    this.#switchVersion(version);
    const added: number[] = [];
    await forEachConcurrently(
      staged.value,
      MAX_CONCURRENT_READS,
      async (chunk) => {
        const bytes = await engine.readStaged(manifest.name, chunk);
        if (bytes.isErr || !cache.add(version, chunk, bytes.value)) return;
        if (this.#version === version) this.#written.add(chunk);
        added.push(chunk);
      },
    );
    return added;
  }

  /**
   * Writes the cached chunks that are not staged yet. Returns whether the
   * whole version is staged now.
   */
  async writeMissing(model: string, version: string): Promise<boolean> {
    const { engine, cache, log } = this.#options;
    this.#switchVersion(version);
    const held = cache.heldChunks(version);
    if (held === undefined) return false;
    for (const chunk of held.held()) {
      if (this.#written.has(chunk)) continue;
      const bytes = cache.chunk(version, chunk);
      if (bytes === undefined || this.#version !== version) return false;
      const written = await engine.writeStaged(model, chunk, bytes);
      if (written.isErr) {
        log.warn("stage-failed", { version, chunk, reason: written.error });
        return false;
      }
      this.#written.add(chunk);
    }
    return held.isComplete && this.#written.size === held.total;
  }

  /**
   * Reads all chunks of a version back and returns whether every digest
   * matches. The next `writeMissing` writes chunks again that don't match.
   */
  async verify(version: string): Promise<boolean> {
    const { engine, cache, log } = this.#options;
    const manifest = cache.manifest(version);
    if (manifest === undefined) return false;
    const chunks = manifest.chunks.map((_, chunk) => chunk);
    let isIntact = true;
    await forEachConcurrently(chunks, MAX_CONCURRENT_READS, async (chunk) => {
      const bytes = await engine.readStaged(manifest.name, chunk);
      const digest = bytes.isOk
        ? createHash("sha256").update(bytes.value).digest("hex")
        : "";
      if (digest === manifest.chunks[chunk]) return;
      isIntact = false;
      this.#written.delete(chunk);
      log.warn("staged-chunk-bad", { version, chunk });
    });
    return isIntact;
  }

  #switchVersion(version: string): void {
    if (this.#version === version) return;
    this.#version = version;
    this.#written.clear();
  }
}
