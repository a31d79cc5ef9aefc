import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import { createHash } from "node:crypto";
import type { WeightsCache } from "../spread/weights_cache.ts";
import type { EventLog } from "../log/event_log.ts";
import type { ModelEngine } from "../platform/model_engine.ts";
import { forEachAtOnce } from "./for_each_at_once.ts";

/** The engine's host answers from memory; each read is mostly waiting. */
const READS_AT_ONCE = 6;

type Options = { engine: ModelEngine; cache: WeightsCache; log: EventLog };

/** The weights that lie staged beside the engine, one copy a model. */
export class StagedChunks {
  #options: Options;
  /** Chunks of the cache's version known to have been written. */
  #written = new Set<number>();
  #version = "";
  /** What this process did not write itself was taken in already. */
  #isRecovered = false;

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Takes good chunks that lie there into the cache; gives their numbers.
   * Later on only what came from the cache lies there.
   */
  async recover(manifest: WeightsManifest): Promise<number[]> {
    if (this.#isRecovered) return [];
    const { engine, cache, log } = this.#options;
    const version = versionName(manifest);
    const staged = await engine.stagedChunks(manifest.name);
    if (staged.isErr) {
      log.warn("staged-chunks-unreadable", { reason: staged.error });
      return [];
    }
    this.#isRecovered = true;
    this.#turnTo(version);
    const added: number[] = [];
    await forEachAtOnce(staged.value, READS_AT_ONCE, async (chunk) => {
      const bytes = await engine.readStaged(manifest.name, chunk);
      if (bytes.isErr || !cache.add(version, chunk, bytes.value)) return;
      if (this.#version === version) this.#written.add(chunk);
      added.push(chunk);
    });
    return added;
  }

  /** Writes what is held and does not lie there yet; whether all does now. */
  async write(model: string, version: string): Promise<boolean> {
    const { engine, cache, log } = this.#options;
    this.#turnTo(version);
    const held = cache.held(version);
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

  /** Reads all of it back; what is bad will be written again. */
  async verify(version: string): Promise<boolean> {
    const { engine, cache, log } = this.#options;
    const manifest = cache.manifest(version);
    if (manifest === undefined) return false;
    const chunks = manifest.chunks.map((_, chunk) => chunk);
    let isSound = true;
    await forEachAtOnce(chunks, READS_AT_ONCE, async (chunk) => {
      const bytes = await engine.readStaged(manifest.name, chunk);
      const digest = bytes.isOk
        ? createHash("sha256").update(bytes.value).digest("hex")
        : "";
      if (digest === manifest.chunks[chunk]) return;
      isSound = false;
      this.#written.delete(chunk);
      log.warn("staged-chunk-bad", { version, chunk });
    });
    return isSound;
  }

  #turnTo(version: string): void {
    if (this.#version === version) return;
    this.#version = version;
    this.#written.clear();
  }
}
