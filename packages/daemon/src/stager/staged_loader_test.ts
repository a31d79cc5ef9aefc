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
import { pause } from "../transport/pause.ts";
import { StagedLoader } from "./staged_loader.ts";

const MODEL = "m";
const CHUNKS = 4;
/** Short, so that a test sees its end. */
const BOUND_MILLISECONDS = 2_500;
const WAIT_MILLISECONDS = 5_000;

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

/** An engine that loads whatever lies there, as real ones do. */
class FakeEngine implements ModelEngine {
  staged = new Map<number, Buffer>();
  /** What it loaded: versions of whole weights, or "mixed". */
  loaded: string[] = [];
  models: EngineReport["models"] = [];
  running = 0;
  /** Chunks that turn bad when they are written; each once. */
  rots: number[] = [];
  /** What the first read of each chunk takes; it turns bad behind it. */
  slowRotMilliseconds = 0;
  #sequence = 0;
  #read = new Set<number>();

  report(): Promise<Result<EngineReport, string>> {
    return Promise.resolve(Result.ok({
      models: this.models,
      isBusy: false,
      sequence: this.#sequence,
      running: this.running,
      waiting: 0,
      bornAt: 1,
    }));
  }

  stagedChunks(): Promise<Result<number[], string>> {
    return Promise.resolve(Result.ok([...this.staged.keys()]));
  }

  async readStaged(
    _model: string,
    chunk: number,
  ): Promise<Result<Buffer, string>> {
    const bytes = this.staged.get(chunk);
    const isFirst = !this.#read.has(chunk);
    this.#read.add(chunk);
    if (this.slowRotMilliseconds > 0 && isFirst) {
      this.staged.set(chunk, Buffer.from("rotten"));
      await pause(this.slowRotMilliseconds);
    }
    return bytes === undefined ? Result.err("none") : Result.ok(bytes);
  }

  writeStaged(
    _model: string,
    chunk: number,
    bytes: Buffer,
  ): Promise<Result<void, string>> {
    const at = this.rots.indexOf(chunk);
    if (at >= 0) this.rots.splice(at, 1);
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
  const named = new NamedVersions();
  const loader = new StagedLoader({
    engine,
    named,
    cache,
    log,
    weightsBoundMilliseconds: BOUND_MILLISECONDS,
  });
  const bring = (version: number) => {
    const manifest = manifestOf(version);
    const name = `${MODEL}@${version}`;
    cache.begin(manifest);
    loader.setTarget(MODEL, version, name);
    for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
      cache.add(name, chunk, chunkOf(version, chunk));
    }
  };
  return { engine, cache, loader, bring, named };
}

async function until(check: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_MILLISECONDS;
  while (!check()) {
    assert.ok(performance.now() < end, "not in time");
    await pause(10);
  }
}

test("an empty engine is loaded at once, and only from whole weights", async () => {
  // Story: a chunk turns bad where it lies, between its writing and the load.
  // The engine takes what lies there unchecked: it must be found first.
  const { engine, loader, bring } = setUp();
  engine.rots = [2];
  loader.start();
  bring(1);
  await until(() => engine.loaded.length > 0);
  loader.stop();
  assert.deepEqual(engine.loaded, ["1"]);
});

test("weights that were checked long ago are checked again", async () => {
  // Guards against loading what turned bad while this process stood still.
  const { engine, loader, bring } = setUp();
  engine.slowRotMilliseconds = 2_100;
  loader.start();
  bring(1);
  await until(() => engine.loaded.length > 0);
  loader.stop();
  assert.deepEqual(engine.loaded, ["1"]);
});

test("a serving engine loads only in its turn, and runs empty before", async () => {
  const { engine, loader, bring } = setUp();
  engine.models = [{ name: MODEL, version: 1 }];
  engine.running = 3;
  let asked = 0;
  loader.turnWanted$.subscribe(() => {
    asked += 1;
  });
  loader.start();
  bring(2);
  await until(() => asked > 0);
  assert.equal(loader.isAccepting, true);
  assert.deepEqual(engine.loaded, []);
  loader.takeTurn(`${MODEL}@2`);
  await until(() => !loader.isAccepting);
  assert.deepEqual(engine.loaded, []);
  engine.running = 0;
  await until(() => engine.loaded.length > 0 && loader.isAccepting);
  loader.stop();
  assert.deepEqual(engine.loaded, ["2"]);
  assert.equal(loader.servingVersion, `${MODEL}@2`);
});

test("a version that was overtaken gives its turn up, and serves on", async () => {
  // Story: version 3 is named while an engine runs empty for version 2. It
  // must not stay away for as long as version 3 takes to arrive.
  const { engine, cache, loader, bring } = setUp();
  engine.models = [{ name: MODEL, version: 1 }];
  engine.running = 1;
  loader.start();
  bring(2);
  loader.takeTurn(`${MODEL}@2`);
  await until(() => !loader.isAccepting);
  cache.begin(manifestOf(3));
  loader.setTarget(MODEL, 3, `${MODEL}@3`);
  await until(() => loader.isAccepting);
  loader.stop();
  assert.ok(!engine.loaded.includes("mixed"));
});

test("an engine that lost its weights gets them again", async () => {
  const { engine, loader, bring } = setUp();
  loader.start();
  bring(1);
  await until(() => engine.loaded.length === 1);
  engine.models = [];
  await until(() => engine.loaded.length === 2);
  loader.stop();
  assert.deepEqual(engine.loaded, ["1", "1"]);
});

test("without a turn it loads once its weights are of no use any more", async () => {
  // Story: whoever gives turns is cut off. Once gateways leave the old weights
  // alone, an engine that still waits would serve nothing at all.
  const { engine, loader, bring } = setUp();
  engine.models = [{ name: MODEL, version: 1 }];
  loader.start();
  bring(2);
  await until(() => engine.loaded.length > 0);
  loader.stop();
  assert.deepEqual(engine.loaded, ["2"]);
});

test("no turn is waited for by weights that were overtaken long ago", async () => {
  // Story: version 3 is named while the weight store is down. When it arrives
  // at last, no gateway has sent anything to version 2 for seconds; with all
  // engines idle they still loaded one after the other.
  const { engine, loader, bring, named } = setUp();
  engine.models = [{ name: MODEL, version: 2 }];
  const namedAt = monotonicMilliseconds() - BOUND_MILLISECONDS;
  named.add(MODEL, { version: 3, namedAt });
  loader.start();
  const startedAt = performance.now();
  bring(3);
  await until(() => engine.loaded.length > 0);
  loader.stop();
  const milliseconds = performance.now() - startedAt;
  assert.ok(milliseconds < BOUND_MILLISECONDS / 2, `${milliseconds} ms`);
});
