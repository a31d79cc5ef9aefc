import { join } from "node:path";
import process from "node:process";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { digestOf } from "../fakes/digest_of.ts";
import type { FakesPlan } from "../fakes/fakes_plan.ts";
import type { StorePlan } from "../fakes/store_plan.ts";
import { weightsOf } from "../fakes/weights_of.ts";
import type { Child } from "../harness/child.ts";
import { Cluster } from "../harness/cluster.ts";
import { fetchStatus } from "../harness/fetch_status.ts";
import { freeAddresses } from "../harness/free_addresses.ts";
import { isReady } from "../harness/is_ready.ts";
import { runClient } from "../harness/run_client.ts";
import { smallTopology } from "../harness/small_topology.ts";
import { startScript } from "../harness/start_script.ts";
import { waitUntil } from "../harness/wait_until.ts";
import type { LoadPlan } from "../load/load_plan.ts";
import type { LoadSummary } from "../load/load_summary.ts";
import { printDemoTable } from "./print_demo_table.ts";

const MEGABYTE = 1_048_576;
const TOTAL_BYTES = 48 * MEGABYTE;
const CHUNK_BYTES = MEGABYTE / 2;
const COMMON_CHUNKS = 24;
/** The origin carries four copies and a host two in the time of a spread. */
const SPREAD_SECONDS = 12;
const HOST_BYTES_PER_SECOND = 2 * TOTAL_BYTES / SPREAD_SECONDS;
const ORIGIN_BYTES_PER_SECOND = 4 * TOTAL_BYTES / SPREAD_SECONDS;
const READY_MILLISECONDS = 15_000;
const LIVE_MILLISECONDS = 30_000;
const MIDDLE_MILLISECONDS = 3_000;
const SEED = 20_261_203;
const MODEL = "drafter";
const WORKSPACE = "levy-desk";
const REPLICAS = 8;

type Publication = { version: string; seconds: number; originCopies: number };

/** The whole path on loopback, with live calls throughout. */
export class Demo {
  #cluster = new Cluster(smallTopology(HOST_BYTES_PER_SECOND));
  #store = "";
  #helpers: Child[] = [];
  #publications: Publication[] = [];

  /** @returns whether every answer was whole, right and run once. */
  async run(): Promise<boolean> {
    console.log(`seed ${SEED}; logs in ${this.#cluster.folder}`);
    try {
      return await this.#run();
    } finally {
      for (const child of this.#helpers) child.signal("SIGKILL");
      await Promise.all(this.#helpers.map((child) => child.exited));
      await this.#cluster.destroy();
    }
  }

  async #run(): Promise<boolean> {
    await this.#startAll();
    await this.#client([
      ...["contract", "create", WORKSPACE, "--rate", "200", "--burst", "80"],
      ...["--services", "drafter,ledger,portal", "--deadline", "5000"],
    ]);
    const load = this.#startLoad();
    await this.#publishAndWait("1");
    const overtaken = this.#client(this.#publishWords("2", false));
    await overtaken;
    await pause(MIDDLE_MILLISECONDS);
    await this.#publishAndWait("3");
    load.signal("SIGTERM");
    await load.exited;
    const summary = JSON.parse(load.output) as LoadSummary;
    const ranTwice = await this.#checkRuns(summary);
    await this.#client(["timeline", "--since", "60"]);
    const badExits = await this.#cluster.stopAll();
    for (const line of badExits) console.log(line);
    const good = printDemoTable({
      publications: this.#publications,
      replicas: REPLICAS,
      summary,
      ranTwice,
      bounds: {
        originSeconds: TOTAL_BYTES / ORIGIN_BYTES_PER_SECOND,
        hostSeconds: TOTAL_BYTES / HOST_BYTES_PER_SECOND,
      },
    });
    return good && badExits.length === 0;
  }

  async #startAll(): Promise<void> {
    const cluster = this.#cluster;
    await cluster.prepare();
    const [store] = await freeAddresses(1);
    this.#store = `http://${store}`;
    const storePlan: StorePlan = {
      address: store!,
      bytesPerSecond: ORIGIN_BYTES_PER_SECOND,
      name: MODEL,
      totalBytes: TOTAL_BYTES,
      chunkBytes: CHUNK_BYTES,
      commonChunks: COMMON_CHUNKS,
    };
    this.#start("store", "fakes/run_store.js", storePlan);
    const fakesPlan: FakesPlan = {
      backendServers: cluster.backendServers.map((server, index) => ({
        ...server,
        checksFencing: index % 2 === 0,
      })),
    };
    this.#start("fakes", "fakes/run_fakes.js", fakesPlan);
    cluster.startAll();
    const ready = await waitUntil(async () => {
      const states = cluster.entryHosts.map((_, index) =>
        isReady(cluster.publicUrl(index))
      );
      return (await Promise.all(states)).every(Boolean);
    }, READY_MILLISECONDS);
    if (!ready) throw new Error("the entry hosts did not become ready");
    const announced = await waitUntil(async () => {
      const status = await fetchStatus(cluster.publicUrl(0));
      return status?.backend_servers.length === cluster.backendServers.length;
    }, READY_MILLISECONDS);
    if (!announced) throw new Error("the backend servers did not announce");
  }

  #startLoad(): Child {
    const weightDigests: Record<string, string> = {};
    for (const version of ["1", "2", "3"]) {
      weightDigests[`${MODEL}@${version}`] = digestOf(weightsOf({
        version,
        totalBytes: TOTAL_BYTES,
        chunkBytes: CHUNK_BYTES,
        commonChunks: COMMON_CHUNKS,
      }));
    }
    const plan: LoadPlan = {
      entries: this.#cluster.entryHosts.map((host) => `http://${host.public}`),
      workspace: WORKSPACE,
      seed: SEED,
      deadlineMilliseconds: 5_000,
      streams: [
        { service: "drafter", callsPerSecond: 40, kind: "engine" },
        { service: "ledger", callsPerSecond: 10, kind: "unrepeatable" },
        { service: "portal", callsPerSecond: 10, kind: "repeatable" },
      ],
      weightDigests,
    };
    return this.#start("load", "load/load_driver.js", plan);
  }

  async #publishAndWait(version: string): Promise<void> {
    const before = await this.#originBytes();
    const startedAt = performance.now();
    await this.#client(this.#publishWords(version, true));
    const live = await waitUntil(async () => {
      const status = await fetchStatus(this.#cluster.publicUrl(0));
      return status?.weights[0]?.live === REPLICAS;
    }, LIVE_MILLISECONDS);
    if (!live) throw new Error(`version ${version} did not come live`);
    this.#publications.push({
      version,
      seconds: (performance.now() - startedAt) / 1_000,
      originCopies: (await this.#originBytes() - before) / TOTAL_BYTES,
    });
  }

  #publishWords(version: string, wait: boolean): string[] {
    const words = ["weights", "publish", MODEL, version];
    words.push("--service", MODEL, "--store", this.#store);
    return wait ? [...words, "--wait"] : words;
  }

  async #originBytes(): Promise<number> {
    return Number(await (await fetch(`${this.#store}/sent`)).text());
  }

  /** Looks into the fake services' own records of what they ran. */
  async #checkRuns(summary: LoadSummary): Promise<string[]> {
    const records = await Promise.all(
      this.#cluster.backendServers
        .filter((server) => server.kind === "unrepeatable")
        .map(async (server): Promise<string[]> => {
          const answer = await fetch(`http://${server.address}/record`, {
            method: "POST",
          });
          return await answer.json() as string[];
        }),
    );
    const ran = records.flat();
    const seen = new Set<string>();
    const faults: string[] = [];
    for (const body of ran) {
      if (seen.has(body)) faults.push(`ran twice: ${body}`);
      seen.add(body);
    }
    for (const body of summary.unrepeatable.notRun) {
      if (seen.has(body)) faults.push(`reported not run, but ran: ${body}`);
    }
    for (const body of summary.unrepeatable.ran) {
      if (!seen.has(body)) faults.push(`reported run, but did not: ${body}`);
    }
    return faults;
  }

  #start(name: string, script: string, plan: object): Child {
    const child = startScript(
      { name, script, folder: this.#cluster.folder },
      plan,
    );
    this.#helpers.push(child);
    return child;
  }

  async #client(words: string[]): Promise<void> {
    console.log(`$ teaselrouter ${words.join(" ")}`);
    const ended = await runClient({
      entry: this.#cluster.publicUrl(0),
      log: join(this.#cluster.folder, "client.log"),
    }, words);
    process.stdout.write(ended.output);
    if (ended.exit !== 0) {
      throw new Error(`the client ended with ${ended.exit}`);
    }
  }
}
