import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { test } from "node:test";
import { Result } from "true-myth";
import { EventLog } from "../log/event_log.ts";
import type { EngineReport } from "../platform/engine_report.ts";
import type { ModelEngine } from "../platform/model_engine.ts";
import { WeightsCache } from "../spread/weights_cache.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { StagedLoader } from "./staged_loader.ts";

const MODEL = "m";
const CHUNKS = 4;
/** Short, so that it ends within a test. */
const BOUND_MILLISECONDS = 2_500;
const TIMEOUT_MILLISECONDS = 5_000;

function chunkOf(version: number, chunk: number): Buffer {
  return Buffer.from(`chunk ${chunk} of ${version}`.padEnd(32, "."));
}

function digestOf(bytes: Buffer): string {
  return createHash("sha256").update(bytes).digest("hex");
}

function manifestOf(version: number): WeightsManifest {
  const chunks = Array.from(
    { length: CHUNKS },
    (_, chunk) => digestOf(chunkOf(version, chunk)),
  );
  return {
    name: MODEL,
    version: String(version),
    total_bytes: CHUNKS * 32,
    chunk_bytes: 32,
    chunks,
  };
}

/** Loads the staged chunks without checking them, as real engines do. */
class FakeEngine implements ModelEngine {
  staged = new Map<number, Buffer>();
  /** Loaded versions, in order; "mixed" if chunks didn't match the version. */
  loaded: string[] = [];
  models: EngineReport["models"] = [];
  running = 0;
  /** Chunks that are corrupted when they are written, each once. */
  corruptedOnWrite: number[] = [];
  /**
   * How long the first read of each chunk takes; 0 for no delay. With a delay
   * the read returns the intact bytes, and the chunk is corrupt afterwards.
   */
  firstReadMilliseconds = 0;
  #sequence = 0;
  #read = new Set<number>();

  fetchReport(): Promise<Result<EngineReport, string>> {
    return Promise.resolve(Result.ok({
      models: this.models,
      isBusy: false,
      sequence: this.#sequence,
      running: this.running,
      waiting: 0,
      bornAt: 1,
    }));
  }

  listStagedChunks(): Promise<Result<number[], string>> {
    return Promise.resolve(Result.ok([...this.staged.keys()]));
  }

  async readStaged(
    _model: string,
    chunk: number,
  ): Promise<Result<Buffer, string>> {
    const bytes = this.staged.get(chunk);
    const isFirst = !this.#read.has(chunk);
    this.#read.add(chunk);
    if (this.firstReadMilliseconds > 0 && isFirst) {
      this.staged.set(chunk, Buffer.from("rotten"));
      await sleep(this.firstReadMilliseconds);
    }
    return bytes === undefined ? Result.err("none") : Result.ok(bytes);
  }

  writeStaged(
    _model: string,
    chunk: number,
    bytes: Buffer,
  ): Promise<Result<void, string>> {
    const at = this.corruptedOnWrite.indexOf(chunk);
    if (at >= 0) this.corruptedOnWrite.splice(at, 1);
    this.staged.set(chunk, at >= 0 ? Buffer.from("rotten") : bytes);
    return Promise.resolve(Result.ok(undefined));
  }

  load(order: { model: string; version: number; sequence: number }) {
    if (order.sequence !== this.#sequence) {
      return Promise.resolve(Result.ok<"refused", string>("refused"));
    }
    this.#sequence += 1;
    const isWhole = manifestOf(order.version).chunks.every((digest, chunk) =>
      digest === digestOf(this.staged.get(chunk) ?? Buffer.alloc(0))
    );
    this.loaded.push(isWhole ? String(order.version) : "mixed");
    this.models = [{ name: MODEL, version: order.version }];
    return Promise.resolve(Result.ok<"begun", string>("begun"));
  }
}

function setUp() {
  const engine = new FakeEngine();
  const cache = new WeightsCache();
  const log = new EventLog("s", "error", undefined, {
    write: () => undefined,
    flush: () => Promise.resolve(),
  });
  const namedVersions = new NamedVersions();
  const loader = new StagedLoader({
    engine,
    namedVersions,
    cache,
    log,
    weightsBoundMilliseconds: BOUND_MILLISECONDS,
  });
  const deliverVersion = (version: number) => {
    const manifest = manifestOf(version);
    const name = `${MODEL}@${version}`;
    cache.begin(manifest);
    loader.setTarget(MODEL, version, name);
    for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
      cache.add(name, chunk, chunkOf(version, chunk));
    }
  };
  return { engine, cache, loader, deliverVersion, namedVersions };
}

async function waitUntil(check: () => boolean): Promise<void> {
  const end = performance.now() + TIMEOUT_MILLISECONDS;
  while (!check()) {
    assert.ok(performance.now() < end, "not in time");
    await sleep(10);
  }
}

test("an empty engine is loaded at once, and only from whole weights", async () => {
  // Guards against loading a chunk that was corrupted in the staging area
  // between its writing and the load. The engine loads staged chunks
  // unchecked, so the loader must find the chunk first.
  const { engine, loader, deliverVersion } = setUp();
  engine.corruptedOnWrite = [2];
  loader.start();
  deliverVersion(1);
  await waitUntil(() => engine.loaded.length > 0);
  loader.stop();
  assert.deepEqual(engine.loaded, ["1"]);
});

test("weights that were checked long ago are checked again", async () => {
  // Guards against loading chunks that were corrupted after the loader had
  // checked them, while its process was paused.
  const { engine, loader, deliverVersion } = setUp();
  engine.firstReadMilliseconds = 2_100;
  loader.start();
  deliverVersion(1);
  await waitUntil(() => engine.loaded.length > 0);
  loader.stop();
  assert.deepEqual(engine.loaded, ["1"]);
});

test("a serving engine loads only with a permit and after draining", async () => {
  const { engine, loader, deliverVersion } = setUp();
  engine.models = [{ name: MODEL, version: 1 }];
  engine.running = 3;
  let asked = 0;
  loader.permitRequested$.subscribe(() => {
    asked += 1;
  });
  loader.start();
  deliverVersion(2);
  await waitUntil(() => asked > 0);
  assert.equal(loader.isAccepting, true);
  assert.deepEqual(engine.loaded, []);
  loader.grantPermit(`${MODEL}@2`);
  await waitUntil(() => !loader.isAccepting);
  assert.deepEqual(engine.loaded, []);
  engine.running = 0;
  await waitUntil(() => engine.loaded.length > 0 && loader.isAccepting);
  loader.stop();
  assert.deepEqual(engine.loaded, ["2"]);
  assert.equal(loader.servingVersion, `${MODEL}@2`);
});

test("an engine draining for a superseded version accepts requests again", async () => {
  // Guards against an idle engine: version 3 is named while the engine drains
  // for version 2. The engine must serve until version 3 has nearly arrived.
  const { engine, cache, loader, deliverVersion } = setUp();
  engine.models = [{ name: MODEL, version: 1 }];
  engine.running = 1;
  loader.start();
  deliverVersion(2);
  loader.grantPermit(`${MODEL}@2`);
  await waitUntil(() => !loader.isAccepting);
  cache.begin(manifestOf(3));
  loader.setTarget(MODEL, 3, `${MODEL}@3`);
  await waitUntil(() => loader.isAccepting);
  loader.stop();
  assert.ok(!engine.loaded.includes("mixed"));
});

test("an engine that lost its weights loads them again", async () => {
  const { engine, loader, deliverVersion } = setUp();
  loader.start();
  deliverVersion(1);
  await waitUntil(() => engine.loaded.length === 1);
  engine.models = [];
  await waitUntil(() => engine.loaded.length === 2);
  loader.stop();
  assert.deepEqual(engine.loaded, ["1", "1"]);
});

test("without a permit an engine loads once gateways no longer use its weights", async () => {
  // Guards against waiting for a permit that never comes, as when the control
  // host that grants it is cut off. Once gateways stop using the old weights,
  // an engine that still waits would serve nothing at all.
  const { engine, loader, deliverVersion } = setUp();
  engine.models = [{ name: MODEL, version: 1 }];
  loader.start();
  deliverVersion(2);
  await waitUntil(() => engine.loaded.length > 0);
  loader.stop();
  assert.deepEqual(engine.loaded, ["2"]);
});

test("an engine whose weights were superseded long ago doesn't wait for a permit", async () => {
  // Guards against loading one engine after the other while all are idle:
  // version 3 is named while the weight store is down. By the time its weights
  // arrive, gateways have sent nothing to version 2 for seconds, so no engine
  // needs to wait for a permit.
  const { engine, loader, deliverVersion, namedVersions } = setUp();
  engine.models = [{ name: MODEL, version: 2 }];
  const namedAt = monotonicMilliseconds() - BOUND_MILLISECONDS;
  namedVersions.add(MODEL, { version: 3, namedAt });
  loader.start();
  const startedAt = performance.now();
  deliverVersion(3);
  await waitUntil(() => engine.loaded.length > 0);
  loader.stop();
  const milliseconds = performance.now() - startedAt;
  assert.ok(milliseconds < BOUND_MILLISECONDS / 2, `${milliseconds} ms`);
});
