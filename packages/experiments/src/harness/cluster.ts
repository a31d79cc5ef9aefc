import { mkdtempSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Child } from "./child.ts";
import { freeAddresses } from "./free_addresses.ts";
import { RelayMesh } from "./relay_mesh.ts";
import type { Topology } from "./topology.ts";
import { writeSettings } from "./write_settings.ts";

const resolver = createRequire(import.meta.url);
const DAEMON = resolver.resolve("@teaselrouter/daemon/main.ts");

type EntryHost = Topology["entryHosts"][number] & {
  internal: string;
  public: string;
};

type BackendServer = {
  name: string;
  service: string;
  kind: Topology["services"][number]["kind"];
  dataCentre: string;
  internal: string;
  agentAddress: string;
  address: string;
};

/** A cluster of real daemon processes on loopback. */
export class Cluster {
  readonly folder = mkdtempSync(join(tmpdir(), "teaselrouter-"));
  readonly topology: Topology;
  readonly mesh = new RelayMesh();
  entryHosts: EntryHost[] = [];
  backendServers: BackendServer[] = [];
  #children = new Map<string, Child>();
  #files = new Map<string, string>();

  constructor(topology: Topology) {
    this.topology = topology;
  }

  /** Gives out addresses and writes every process's settings. */
  async prepare(): Promise<void> {
    const { entryHosts, services } = this.topology;
    const replicas = services.flatMap((plan) => plan.dataCentres);
    const addresses = await freeAddresses(
      entryHosts.length * 2 + replicas.length * 3,
    );
    const next = () => addresses.pop()!;
    this.entryHosts = entryHosts.map((host) => ({
      ...host,
      internal: next(),
      public: next(),
    }));
    this.backendServers = services.flatMap((plan) =>
      plan.dataCentres.map((dataCentre, index) => ({
        name: `${plan.service}-${index + 1}`,
        service: plan.service,
        kind: plan.kind,
        dataCentre,
        internal: next(),
        agentAddress: next(),
        address: next(),
      }))
    );
    if (this.topology.withRelays) {
      await this.mesh.start([...this.entryHosts, ...this.backendServers]);
    }
    for (const host of this.entryHosts) this.#writeEntry(host);
    for (const server of this.backendServers) this.#writeAgent(server);
  }

  startAll(): void {
    for (const name of this.#files.keys()) this.start(name);
  }

  start(name: string): Child {
    const child = new Child({
      name,
      script: DAEMON,
      args: ["--settings", this.#files.get(name)!],
      log: join(this.folder, `${name}.log`),
    });
    this.#children.set(name, child);
    return child;
  }

  child(name: string): Child {
    return this.#children.get(name)!;
  }

  get children(): Child[] {
    return [...this.#children.values()];
  }

  publicUrl(index: number): string {
    return `http://${this.entryHosts[index % this.entryHosts.length]!.public}`;
  }

  /** Where a control host keeps its state. */
  dataFolder(name: string): string {
    return join(this.folder, `${name}.data`);
  }

  /** Stops every process as an operator would; gives back bad exits. */
  async stopAll(): Promise<string[]> {
    const bad: string[] = [];
    await Promise.all(this.children.map(async (child) => {
      child.signal("SIGTERM");
      const code = await child.exited;
      if (code !== 0) bad.push(`${child.name} ended with ${code}`);
    }));
    return bad;
  }

  /** Ends what still runs, and drops the folder unless its logs are kept. */
  async destroy({ keepsLogs = false } = {}): Promise<void> {
    for (const child of this.children) child.signal("SIGKILL");
    await Promise.all(this.children.map((child) => child.exited));
    this.mesh.stop();
    if (keepsLogs) return console.error(`logs are kept in ${this.folder}`);
    rmSync(this.folder, { recursive: true, force: true });
  }

  #writeEntry(host: EntryHost): void {
    const voters = this.entryHosts.filter((other) => other.control);
    const control = host.control
      ? {
        control: {
          data_folder: this.dataFolder(host.name),
          founders: voters.map((voter) => ({
            name: voter.name,
            address: voter.internal,
          })),
        },
      }
      : {};
    this.#write(host.name, {
      name: host.name,
      data_centre: host.dataCentre,
      roles: host.control ? ["control", "entry"] : ["entry"],
      internal: {
        listen: host.internal,
        dial: this.mesh.dialFor(host.name),
      },
      log: { level: this.topology.logLevel },
      ...control,
      entry: {
        listen: host.public,
        control_hosts: voters.map((voter) => voter.internal),
        spread_weighing: this.topology.spreadWeighing,
        drain_milliseconds: 300,
        request_idle_milliseconds: 2_000,
      },
    });
  }

  #writeAgent(server: BackendServer): void {
    this.#write(server.name, {
      name: server.name,
      data_centre: server.dataCentre,
      roles: ["agent"],
      internal: {
        listen: server.internal,
        dial: this.mesh.dialFor(server.name),
      },
      log: { level: this.topology.logLevel },
      agent: {
        listen: server.agentAddress,
        entry_hosts: this.entryHosts.map((host) => host.internal),
        link_bytes_per_second: this.topology.linkBytesPerSecond,
        region_bytes_per_second: this.topology.regionBytesPerSecond,
        drain_milliseconds: 600,
      },
    });
  }

  #write(name: string, settings: object): void {
    const path = join(this.folder, `${name}.toml`);
    this.#files.set(name, writeSettings(path, settings));
  }
}
