import { create } from "@bufbuild/protobuf";
import { rangeStoreFormat } from "@teaselrouter/daemon/spread/range_store_format.ts";
import { ChunkFetcher } from "@teaselrouter/daemon/spread/chunk_fetcher.ts";
import { LinkPacer } from "@teaselrouter/daemon/spread/link_pacer.ts";
import { SpreadClient } from "@teaselrouter/daemon/spread/spread_client.ts";
import { WeightsCache } from "@teaselrouter/daemon/spread/weights_cache.ts";
import { EventLog } from "@teaselrouter/daemon/log/event_log.ts";
import { createStatsdClient } from "@teaselrouter/daemon/metrics/create_statsd_client.ts";
import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import type { Settings } from "@teaselrouter/daemon/settings/settings.ts";
import { SpreadPlanSchema } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer, type RequestListener, type Server } from "node:http";
import { test } from "node:test";
import { digestOf } from "../fakes/digest_of.ts";
import { WeightStore } from "../fakes/weight_store.ts";
import { weightsOf } from "../fakes/weights_of.ts";
import { freeAddresses } from "../harness/free_addresses.ts";
import { waitUntil } from "../harness/wait_until.ts";

const SHAPE = { totalBytes: 262_144, chunkBytes: 65_536, commonChunks: 0 };
const VERSION = "model@1";
const CHECK_MILLISECONDS = 15_000;

/** An agent's fetching parts, its origin, and one peer that is told what to do. */
class SourcesBench {
  readonly cache = new WeightsCache();
  readonly client: SpreadClient;
  readonly store: WeightStore;
  readonly failed: number[] = [];
  readonly peerAddress: string;
  #storeAddress: string;
  #peer: Server;

  constructor(addresses: string[], peer: RequestListener) {
    this.#storeAddress = addresses[0]!;
    this.peerAddress = addresses[1]!;
    this.store = new WeightStore({
      ...SHAPE,
      address: this.#storeAddress,
      bytesPerSecond: 0,
      name: "model",
    });
    this.#peer = createServer(peer);
    this.client = new SpreadClient({
      cache: this.cache,
      fetcher: new ChunkFetcher({
        dataCentre: "van",
        pacer: new LinkPacer(0),
        weightStoreFormat: rangeStoreFormat,
      }),
      log: new EventLog("bench", "error"),
      metrics: createStatsdClient({ name: "bench" } as Settings),
      random: () => 0,
      hasCoordinator: () => false,
    });
    this.client.changed$.subscribe(({ failed }) => this.failed.push(...failed));
  }

  async start(): Promise<void> {
    await this.store.start();
    await listen(this.#peer, this.peerAddress);
    const chunks = weightsOf({ ...SHAPE, version: "1" });
    this.client.setTarget({
      name: "model",
      version: "1",
      total_bytes: SHAPE.totalBytes,
      chunk_bytes: SHAPE.chunkBytes,
      chunks: chunks.map((chunk) => digestOf([chunk])),
    }, `http://${this.#storeAddress}`);
  }

  order(chunks: number[], source: string): void {
    this.client.applyPlan(create(SpreadPlanSchema, {
      version: VERSION,
      orders: chunks.map((chunk) => ({ chunk, source })),
      peers: [this.peerAddress],
    }));
  }

  isComplete(): Promise<boolean> {
    return waitUntil(() => this.cache.isComplete(VERSION), CHECK_MILLISECONDS);
  }

  hasFailed(count: number): Promise<boolean> {
    return waitUntil(() => this.failed.length >= count, CHECK_MILLISECONDS);
  }

  stop(): void {
    this.client.stop();
    this.store.stop();
    this.#peer.close();
    this.#peer.closeAllConnections();
  }
}

async function withSources(
  peer: RequestListener,
  story: (bench: SourcesBench) => Promise<void>,
): Promise<void> {
  const bench = new SourcesBench(await freeAddresses(2), peer);
  await bench.start();
  try {
    await story(bench);
  } finally {
    bench.stop();
  }
}

test("a peer's damaged chunks are refused and come from elsewhere", async () => {
  // Story: a peer's memory is bad: its chunks have the right length and the
  // wrong bytes. None may count as held; the origin's whole ones do.
  const damaged: RequestListener = (_request, response) => {
    response.end(Buffer.alloc(SHAPE.chunkBytes, 7));
  };
  await withSources(damaged, async (bench) => {
    bench.order([0, 1, 2, 3], bench.peerAddress);
    assert.ok(await bench.hasFailed(4));
    assert.equal(bench.cache.heldChunks(VERSION)!.count, 0);
    bench.order([0, 1, 2, 3], "");
    assert.ok(await bench.isComplete());
  });
});

test("the origin's damaged chunks are refused until it is whole again", async () => {
  await withSources((_request, response) => response.end(), async (bench) => {
    bench.store.corrupt = true;
    bench.order([0, 1, 2, 3], "");
    assert.ok(await bench.hasFailed(4));
    assert.equal(bench.cache.heldChunks(VERSION)!.count, 0);
    bench.store.corrupt = false;
    bench.order([0, 1, 2, 3], "");
    assert.ok(await bench.isComplete());
  });
});

test("a peer that stalls without closing is given up", async () => {
  const stalling: RequestListener = (_request, response) => {
    response.writeHead(200, { "Content-Length": SHAPE.chunkBytes });
    response.write(Buffer.alloc(10));
  };
  await withSources(stalling, async (bench) => {
    bench.order([2], bench.peerAddress);
    assert.ok(await bench.hasFailed(1), "the fetch was never given up");
    bench.order([0, 1, 2, 3], "");
    assert.ok(await bench.isComplete());
  });
});

test("with no plan, an agent goes on among its peers and the origin", async () => {
  // Story: the coordinator is gone and no other takes over. What the last
  // plan said of peers is still known, and the origin can be asked.
  const empty: RequestListener = (_request, response) => {
    response.writeHead(404).end();
  };
  await withSources(empty, async (bench) => {
    bench.order([0], "");
    assert.ok(await bench.isComplete(), "it waited for a plan");
  });
});
