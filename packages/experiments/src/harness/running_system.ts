import { join } from "node:path";
import { sha256Hex } from "../fakes/sha256_hex.ts";
import type { FakesPlan } from "../fakes/fakes_plan.ts";
import type { StorePlan } from "../fakes/store_plan.ts";
import { generateWeights } from "../fakes/generate_weights.ts";
import type { LoadPlan } from "../load/load_plan.ts";
import type { LoadSummary } from "../load/load_summary.ts";
import type { Child } from "./child.ts";
import { Cluster } from "./cluster.ts";
import { fetchStatus } from "./fetch_status.ts";
import { findFreeAddresses } from "./find_free_addresses.ts";
import { isReady } from "./is_ready.ts";
import { runClient } from "./run_client.ts";
import { startScript } from "./start_script.ts";
import type { Topology } from "./topology.ts";
import { waitUntil } from "./wait_until.ts";

const READY_TIMEOUT_MILLISECONDS = 20_000;
const LINE_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

type Options = {
  topology: Topology;
  model: string;
  totalBytes: number;
  chunkBytes: number;
  commonChunks: number;
  originBytesPerSecond: number;
  /** From the last byte of weights until an engine has loaded them; 0 if unset. */
  loadMilliseconds?: number;
  /** Between the lines of an engine's answer; 5 if unset. */
  lineMilliseconds?: number;
};

type SpreadResult = { seconds: number; originCopies: number };

/**
 * A whole system on loopback, in processes of its own: the daemons, the fake
 * backend servers, the weight store and load drivers.
 */
export class RunningSystem {
  readonly cluster: Cluster;
  #options: Options;
  #storeUrl = "";
  #helpers: Child[] = [];
  #fakes: Child | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.cluster = new Cluster(options.topology);
  }

  async start(): Promise<void> {
    const { cluster } = this;
    await cluster.prepare();
    const [store] = await findFreeAddresses(1);
    this.#storeUrl = `http://${store}`;
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
    this.startHelper("store", "fakes/run_store.js", storePlan);
    const fakesPlan: FakesPlan = {
      loadMilliseconds: this.#options.loadMilliseconds ?? 0,
      lineMilliseconds: this.#options.lineMilliseconds ?? LINE_MILLISECONDS,
      backendServers: cluster.backendServers.map((server, index) => ({
        ...server,
        checksFencing: index % 2 === 0,
      })),
    };
    this.#fakes = this.startHelper(
      "fakes",
      "fakes/run_fakes.js",
      fakesPlan,
    );
    cluster.startAll();
    await this.#waitUntilReady();
  }

  /** Kills all processes, and deletes the folder unless logs are to be kept. */
  async destroy(options: { keepLogs?: boolean } = {}): Promise<void> {
    for (const child of this.#helpers) child.signal("SIGKILL");
    await Promise.all(this.#helpers.map((child) => child.exited));
    await this.cluster.destroy(options);
  }

  /** Starts a script of this package beside the cluster's daemons. */
  startHelper(name: string, script: string, plan: object): Child {
    const child = startScript(
      { name, script, folder: this.cluster.folder },
      plan,
    );
    this.#helpers.push(child);
    return child;
  }

  /** The process of all fake backend servers. */
  get fakes(): Child {
    return this.#fakes!;
  }

  startLoad(plan: Omit<LoadPlan, "entries" | "weightDigests">): Child {
    const entries = this.cluster.entryHosts.map((host) =>
      `http://${host.public}`
    );
    const weightDigests = this.#weightDigests(["1", "2", "3", "4"]);
    return this.startHelper("load", "load/load_driver.js", {
      ...plan,
      entries,
      weightDigests,
    });
  }

  /** Stops a load driver and returns the summary that it prints. */
  async stopLoad(load: Child): Promise<LoadSummary> {
    load.signal("SIGTERM");
    await load.exited;
    return JSON.parse(load.output) as LoadSummary;
  }

  entryUrl(name: string): string {
    const host = this.cluster.entryHosts.find((each) => each.name === name)!;
    return `http://${host.public}`;
  }

  /** Runs the operators' client through the named entry host. */
  runClientAt(name: string, args: string[]): ReturnType<typeof runClient> {
    const log = join(this.cluster.folder, "client.log");
    return runClient({ entry: this.entryUrl(name), log }, args);
  }

  /** Returns a workspace's contract rate as one entry host reports it. */
  async fetchContractRate(
    name: string,
    workspace: string,
  ): Promise<number | undefined> {
    const status = await fetchStatus(this.entryUrl(name));
    return status?.contracts.find((row) => row.workspace === workspace)
      ?.requests_per_second;
  }

  /**
   * Runs the operators' client through the first entry host and returns its
   * output. Throws if the client fails.
   */
  async runClient(args: string[]): Promise<string> {
    const first = this.cluster.entryHosts[0]!.name;
    const result = await this.runClientAt(first, args);
    if (result.exitStatus !== 0) {
      throw new Error(`${args.join(" ")} ended with ${result.exitStatus}`);
    }
    return result.output;
  }

  publish(version: string, args: string[] = []): Promise<string> {
    const { model } = this.#options;
    return this.runClient([
      ...["weights", "publish", model, version, "--service", model],
      ...["--store", this.#storeUrl, ...args],
    ]);
  }

  /**
   * Publishes a version and waits until the first entry host reports it live on
   * `replicas` backend servers. Returns the time from the command until then,
   * and the bytes that the weight store sent meanwhile, in copies of the
   * weights. Throws if it takes longer than 120 s.
   */
  async measureSpread(
    version: string,
    replicas: number,
  ): Promise<SpreadResult> {
    const before = await this.fetchOriginBytes();
    const startedAt = performance.now();
    await this.publish(version);
    const name = `${this.#options.model}@${version}`;
    const live = await waitUntil(async () => {
      const status = await fetchStatus(this.cluster.publicUrl(0));
      const row = status?.weights[0];
      return row?.version === name && row.live === replicas;
    }, 120_000);
    if (!live) throw new Error(`${name} did not go live`);
    const bytes = await this.fetchOriginBytes() - before;
    return {
      seconds: (performance.now() - startedAt) / MILLISECONDS_PER_SECOND,
      originCopies: bytes / this.#options.totalBytes,
    };
  }

  /** Returns how many bytes of weights the weight store has sent so far. */
  async fetchOriginBytes(): Promise<number> {
    return Number(await (await fetch(`${this.#storeUrl}/sent`)).text());
  }

  /** Returns the bodies that the unrepeatable services recorded as run. */
  async fetchRecordedBodies(): Promise<string[]> {
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

  async #waitUntilReady(): Promise<void> {
    const { cluster } = this;
    const ready = await waitUntil(async () => {
      const states = cluster.entryHosts.map((_, index) =>
        isReady(cluster.publicUrl(index))
      );
      return (await Promise.all(states)).every(Boolean);
    }, READY_TIMEOUT_MILLISECONDS);
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
    }, READY_TIMEOUT_MILLISECONDS);
    if (!announced) throw new Error("the backend servers did not announce");
  }

  #weightDigests(versions: string[]): Record<string, string> {
    const { model, totalBytes, chunkBytes, commonChunks } = this.#options;
    return Object.fromEntries(versions.map((version) => [
      `${model}@${version}`,
      sha256Hex(
        generateWeights({ version, totalBytes, chunkBytes, commonChunks }),
      ),
    ]));
  }
}
