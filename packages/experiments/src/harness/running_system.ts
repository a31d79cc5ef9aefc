import { join } from "node:path";
import { digestOf } from "../fakes/digest_of.ts";
import type { FakesPlan } from "../fakes/fakes_plan.ts";
import type { StorePlan } from "../fakes/store_plan.ts";
import { weightsOf } from "../fakes/weights_of.ts";
import type { LoadPlan } from "../load/load_plan.ts";
import type { LoadSummary } from "../load/load_summary.ts";
import type { Child } from "./child.ts";
import { Cluster } from "./cluster.ts";
import { fetchStatus } from "./fetch_status.ts";
import { freeAddresses } from "./free_addresses.ts";
import { isReady } from "./is_ready.ts";
import { runClient } from "./run_client.ts";
import { startScript } from "./start_script.ts";
import type { Topology } from "./topology.ts";
import { waitUntil } from "./wait_until.ts";

const READY_MILLISECONDS = 20_000;
const MILLISECONDS = 1_000;

type Options = {
  topology: Topology;
  model: string;
  totalBytes: number;
  chunkBytes: number;
  commonChunks: number;
  originBytesPerSecond: number;
};

type Spread = { seconds: number; originCopies: number };

/** A whole system on loopback: daemons, fakes, weight store, load. */
export class RunningSystem {
  readonly cluster: Cluster;
  #options: Options;
  #store = "";
  #helpers: Child[] = [];

  constructor(options: Options) {
    this.#options = options;
    this.cluster = new Cluster(options.topology);
  }

  async start(): Promise<void> {
    const { cluster } = this;
    await cluster.prepare();
    const [store] = await freeAddresses(1);
    this.#store = `http://${store}`;
    const { model: name, originBytesPerSecond: bytesPerSecond, ...rest } =
      this.#options;
    const { totalBytes, chunkBytes, commonChunks } = rest;
    const storePlan: StorePlan = {
      address: store!,
      bytesPerSecond,
      name,
      totalBytes,
      chunkBytes,
      commonChunks,
    };
    this.helper("store", "fakes/run_store.js", storePlan);
    const fakesPlan: FakesPlan = {
      backendServers: cluster.backendServers.map((server, index) => ({
        ...server,
        checksFencing: index % 2 === 0,
      })),
    };
    this.helper("fakes", "fakes/run_fakes.js", fakesPlan);
    cluster.startAll();
    await this.#untilReady();
  }

  /** Ends everything that was started, and drops the folder unless kept. */
  async destroy(options: { keepsLogs?: boolean } = {}): Promise<void> {
    for (const child of this.#helpers) child.signal("SIGKILL");
    await Promise.all(this.#helpers.map((child) => child.exited));
    await this.cluster.destroy(options);
  }

  helper(name: string, script: string, plan: object): Child {
    const child = startScript(
      { name, script, folder: this.cluster.folder },
      plan,
    );
    this.#helpers.push(child);
    return child;
  }

  startLoad(plan: Omit<LoadPlan, "entries" | "weightDigests">): Child {
    const entries = this.cluster.entryHosts.map((host) =>
      `http://${host.public}`
    );
    const weightDigests = this.#weightDigests(["1", "2", "3", "4"]);
    return this.helper("load", "load/load_driver.js", {
      ...plan,
      entries,
      weightDigests,
    });
  }

  async endLoad(load: Child): Promise<LoadSummary> {
    load.signal("SIGTERM");
    await load.exited;
    return JSON.parse(load.output) as LoadSummary;
  }

  /** Public address of an entry host. */
  entryUrl(name: string): string {
    const host = this.cluster.entryHosts.find((one) => one.name === name)!;
    return `http://${host.public}`;
  }

  /** Runs the operators' client through one entry host. */
  clientAt(name: string, words: string[]): ReturnType<typeof runClient> {
    const log = join(this.cluster.folder, "client.log");
    return runClient({ entry: this.entryUrl(name), log }, words);
  }

  /** A contract's rate as an entry host has it. */
  async rateAt(name: string, workspace: string): Promise<number | undefined> {
    const status = await fetchStatus(this.entryUrl(name));
    return status?.contracts.find((one) => one.workspace === workspace)
      ?.requests_per_second;
  }

  /** Runs the operators' client and gives back what it printed. */
  async client(words: string[]): Promise<string> {
    const first = this.cluster.entryHosts[0]!.name;
    const ended = await this.clientAt(first, words);
    if (ended.exit !== 0) {
      throw new Error(`${words.join(" ")} ended with ${ended.exit}`);
    }
    return ended.output;
  }

  publish(version: string, words: string[] = []): Promise<string> {
    const { model } = this.#options;
    return this.client([
      ...["weights", "publish", model, version, "--service", model],
      ...["--store", this.#store, ...words],
    ]);
  }

  /** Publishes a version and measures until `replicas` serve it. */
  async spread(version: string, replicas: number): Promise<Spread> {
    const before = await this.originBytes();
    const startedAt = performance.now();
    await this.publish(version);
    const name = `${this.#options.model}@${version}`;
    const live = await waitUntil(async () => {
      const status = await fetchStatus(this.cluster.publicUrl(0));
      const row = status?.weights[0];
      return row?.version === name && row.live === replicas;
    }, 120_000);
    if (!live) throw new Error(`${name} did not come live`);
    const bytes = await this.originBytes() - before;
    return {
      seconds: (performance.now() - startedAt) / MILLISECONDS,
      originCopies: bytes / this.#options.totalBytes,
    };
  }

  async originBytes(): Promise<number> {
    return Number(await (await fetch(`${this.#store}/sent`)).text());
  }

  /** Bodies that the unrepeatable services ran, by their own record. */
  async record(): Promise<string[]> {
    const records = await Promise.all(
      this.cluster.backendServers
        .filter((server) => server.kind === "unrepeatable")
        .map(async (server): Promise<string[]> => {
          const answer = await fetch(`http://${server.address}/record`, {
            method: "POST",
          });
          return await answer.json() as string[];
        }),
    );
    return records.flat();
  }

  async #untilReady(): Promise<void> {
    const { cluster } = this;
    const ready = await waitUntil(async () => {
      const states = cluster.entryHosts.map((_, index) =>
        isReady(cluster.publicUrl(index))
      );
      return (await Promise.all(states)).every(Boolean);
    }, READY_MILLISECONDS);
    if (!ready) throw new Error("the entry hosts did not become ready");
    const count = cluster.backendServers.length;
    const announced = await waitUntil(async () => {
      const statuses = await Promise.all(
        cluster.entryHosts.map((_, index) =>
          fetchStatus(cluster.publicUrl(index))
        ),
      );
      return statuses.every((status) =>
        status?.backend_servers.length === count
      );
    }, READY_MILLISECONDS);
    if (!announced) throw new Error("the backend servers did not announce");
  }

  #weightDigests(versions: string[]): Record<string, string> {
    const { model, totalBytes, chunkBytes, commonChunks } = this.#options;
    return Object.fromEntries(versions.map((version) => [
      `${model}@${version}`,
      digestOf(weightsOf({ version, totalBytes, chunkBytes, commonChunks })),
    ]));
  }
}
