import { mkdtempSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Child } from "./child.ts";
import { findFreeAddresses } from "./find_free_addresses.ts";
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
  #settingsPaths = new Map<string, string>();

  constructor(topology: Topology) {
    this.topology = topology;
  }

  /** Assigns addresses to all processes and writes their settings files. */
  async prepare(): Promise<void> {
    const { entryHosts, services } = this.topology;
    const replicas = services.flatMap((plan) => plan.dataCentres);
    const addresses = await findFreeAddresses(
      entryHosts.length * 2 + replicas.length * 3,
    );
    const takeAddress = () => addresses.pop()!;
    this.entryHosts = entryHosts.map((host) => ({
      ...host,
      internal: takeAddress(),
      public: takeAddress(),
    }));
    this.backendServers = services.flatMap((plan) =>
      plan.dataCentres.map((dataCentre, index) => ({
        name: `${plan.service}-${index + 1}`,
        service: plan.service,
        kind: plan.kind,
        dataCentre,
        internal: takeAddress(),
        agentAddress: takeAddress(),
        address: takeAddress(),
      }))
    );
    if (this.topology.withRelays) {
      await this.mesh.start([...this.entryHosts, ...this.backendServers]);
    }
    for (const host of this.entryHosts) this.#writeEntrySettings(host);
    for (const server of this.backendServers) this.#writeAgentSettings(server);
  }

  startAll(): void {
    for (const name of this.#settingsPaths.keys()) this.start(name);
  }

  start(name: string): Child {
    const child = new Child({
      name,
      script: DAEMON,
      args: ["--settings", this.#settingsPaths.get(name)!],
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

  /** Path of the folder in which a control host keeps its state. */
  dataFolder(name: string): string {
    return join(this.folder, `${name}.data`);
  }

  /**
   * Stops every process with SIGTERM, as an operator would. Returns a line for
   * each process that did not exit with 0.
   */
  async stopAll(): Promise<string[]> {
    const badExits: string[] = [];
    await Promise.all(this.children.map(async (child) => {
      child.signal("SIGTERM");
      const code = await child.exited;
      if (code !== 0) badExits.push(`${child.name} ended with ${code}`);
    }));
    return badExits;
  }

  /**
   * Kills all processes that still run, and deletes the cluster's folder unless
   * its logs are to be kept.
   */
  async destroy({ keepLogs = false } = {}): Promise<void> {
    for (const child of this.children) child.signal("SIGKILL");
    await Promise.all(this.children.map((child) => child.exited));
    this.mesh.stop();
    if (keepLogs) return console.error(`logs are kept in ${this.folder}`);
    rmSync(this.folder, { recursive: true, force: true });
  }

  #writeEntrySettings(host: EntryHost): void {
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
    this.#writeSettings(host.name, {
      name: host.name,
      data_centre: host.dataCentre,
      roles: host.control ? ["control", "entry"] : ["entry"],
      internal: {
        listen: host.internal,
        dial: this.mesh.dialOverridesFor(host.name),
      },
      log: { level: this.topology.logLevel },
      ...control,
      entry: {
        listen: host.public,
        control_hosts: voters.map((voter) => voter.internal),
        spread_weighing: this.topology.spreadObjective,
        drain_milliseconds: 300,
        request_idle_milliseconds: 2_000,
      },
    });
  }

  #writeAgentSettings(server: BackendServer): void {
    this.#writeSettings(server.name, {
      name: server.name,
      data_centre: server.dataCentre,
      roles: ["agent"],
      internal: {
        listen: server.internal,
        dial: this.mesh.dialOverridesFor(server.name),
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

  #writeSettings(name: string, settings: object): void {
    const path = join(this.folder, `${name}.toml`);
    const { machine } = this.topology;
    const whole = machine === undefined ? settings : { ...settings, machine };
    this.#settingsPaths.set(name, writeSettings(path, whole));
  }
}
