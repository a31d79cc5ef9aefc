import { Child } from "@teaselrouter/experiments/harness/child.ts";
import { findFreeAddresses } from "@teaselrouter/experiments/harness/find_free_addresses.ts";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import type { PlatformBounds } from "./platform_bounds.ts";
import { renderTemplate } from "./render_template.ts";
import { USUAL_BOUNDS } from "./usual_bounds.ts";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const PROGRAM = join(ROOT, "target", "teaselrouterd.cjs");

/**
 * Second octet of the first host's address. `findFreeAddresses` returns
 * addresses with lower ones.
 */
const FIRST_HOST_OCTET = 128;

/** As the templates say. */
const METRICS_PORT = 9_464;

/** Time from SIGTERM until the platform kills a process. */
export const GRACE_SECONDS = 8;

type Role = "control" | "gateway" | "stager";
/** How a cluster is laid out, other than by the number of its hosts. */
type ClusterShape = {
  /** Hosts are in these by turns, in the order of their indexes. */
  dataCentres: string[];
  /** How many control hosts settings files name. */
  seeds: number;
  /** Control hosts whose disks may be lost at once. */
  toleratedLosses: number;
  /** What each machine lets a process use; nothing is said by default. */
  limits: { memoryMb?: number; maxFds?: number };
};
type Host = { name: string; ip: string; child: Child };

/**
 * Runs the bundled daemon on hosts with loopback addresses. Renders the settings
 * from the templates in deploy/ as the platform does.
 */
export class LoopbackCluster {
  readonly folder = mkdtempSync(join(tmpdir(), "teaselrouter-platform-"));
  #hosts: Host[] = [];
  #ports: {
    control: number;
    frontend: number;
    ready: number;
    internal: number;
  } = {
    control: 0,
    frontend: 0,
    ready: 0,
    internal: 0,
  };
  #ip = "";
  #controlAddresses: string[] = [];
  #seeds: string[] = [];
  #bounds: PlatformBounds;
  #shape: ClusterShape;

  constructor(
    bounds: Partial<PlatformBounds> = {},
    shape: Partial<ClusterShape> = {},
  ) {
    this.#bounds = { ...USUAL_BOUNDS, ...bounds };
    this.#shape = {
      dataCentres: ["here"],
      seeds: Infinity,
      toleratedLosses: 1,
      limits: {},
      ...shape,
    };
  }

  /** Picks the ports and addresses of all hosts; must come before `start`. */
  async allocateAddresses(controlHosts: number): Promise<void> {
    const addresses = await findFreeAddresses(5);
    const [control, frontend, ready, internal] = addresses.map((address) =>
      Number(address.split(":")[1])
    );
    this.#ports = {
      control: control!,
      frontend: frontend!,
      ready: ready!,
      internal: internal!,
    };
    this.#ip = addresses[0]!.split(":")[0]!;
    this.listControlHosts(Array.from({ length: controlHosts }, (_, i) => i));
  }

  /**
   * Loopback IP address of a host. Each host has its own, also while other
   * tests run, because some ports are the same on all hosts.
   */
  hostIp(index: number): string {
    const [first, , third, last] = this.#ip.split(".").map(Number);
    return `${first}.${FIRST_HOST_OCTET + index}.${third}.${last}`;
  }

  get controlUrls(): string[] {
    return this.#controlAddresses.map((address) => `http://${address}`);
  }

  /**
   * Names the control hosts to those that start from now on, as the platform
   * does, and to its callers.
   */
  listControlHosts(indexes: number[]): void {
    this.#controlAddresses = indexes.map((index) =>
      `${this.hostIp(index)}:${this.#ports.control}`
    );
    this.#seeds = this.#controlAddresses.slice(0, this.#shape.seeds);
  }

  /**
   * Names other control hosts to those that start from now on, and in the
   * settings files of those that run, as the platform does; `signalled` are told
   * so with SIGHUP.
   */
  exchangeSeeds(indexes: number[], signalled: string[]): void {
    this.#seeds = indexes.map((index) =>
      `${this.hostIp(index)}:${this.#ports.control}`
    );
    for (const { name } of this.#hosts) {
      const settings = join(this.folder, `${name}.toml`);
      const text = readFileSync(settings, "utf8").split("\n").map((line) =>
        /^(founders|control_hosts) = /.test(line)
          ? replaceAddresses(line, this.#seeds)
          : line
      );
      writeFileSync(settings, text.join("\n"));
    }
    for (const name of signalled) this.findHost(name).child.signal("SIGHUP");
  }

  controlUrl(index: number): string {
    return `http://${this.hostIp(index)}:${this.#ports.control}`;
  }

  /** Each data centre is in a region of its own, and there is one more. */
  get #regions(): Record<string, string> {
    const own = this.#shape.dataCentres.map((dataCentre, index) =>
      [dataCentre, index === 0 ? "near" : `near-${index}`] as const
    );
    return { ...Object.fromEntries(own), there: "far" };
  }

  /** A port that all hosts of its kind listen on. */
  portOf(
    port:
      | "frontend"
      | "ready"
      | "control"
      | "metrics"
      | "internal"
      | "chunks",
  ) {
    if (port === "metrics") return METRICS_PORT;
    return port === "chunks" ? this.#ports.internal + 1 : this.#ports[port];
  }

  frontendUrl(ip: string): string {
    return `http://${ip}:${this.#ports.frontend}`;
  }

  readinessUrl(ip: string): string {
    return `http://${ip}:${this.#ports.ready}/readyz`;
  }

  start(
    role: Role,
    index: number,
    extraFields: Record<string, unknown> = {},
  ): Host {
    const ip = this.hostIp(index);
    const name = `${role}-${index}`;
    const { control, frontend, ready, internal } = this.#ports;
    const text = renderTemplate(
      readFileSync(join(ROOT, "deploy", `${role}.toml`), "utf8"),
      {
        nodeName: name,
        zone: this.#shape.dataCentres[index % this.#shape.dataCentres.length],
        zones: this.#regions,
        ip,
        listen: {
          frontend: `${ip}:${frontend}`,
          ready: `${ip}:${ready}`,
          controlPlane: `${ip}:${control}`,
        },
        internalPorts: [internal, internal + 1],
        seeds: this.#seeds,
        bootstrap: true,
        dataDir: join(this.folder, name),
        faultTolerance: { machines: this.#shape.toleratedLosses },
        limits: { linkMbps: 100, ...this.#shape.limits },
        bounds: {
          graceS: GRACE_SECONDS,
          version_ms: 8_000,
          ...this.#bounds,
        },
        ...extraFields,
      },
    );
    const settings = join(this.folder, `${name}.toml`);
    writeFileSync(settings, text);
    const child = new Child({
      name,
      script: PROGRAM,
      args: ["--settings", settings],
      log: join(this.folder, `${name}.log`),
    });
    const host = { name, ip, child };
    this.#hosts.push(host);
    return host;
  }

  /**
   * Kills hosts and starts them again on the same addresses, at once or so many
   * milliseconds later, and on the same data, unless they lose their disks.
   */
  async restart(
    names: string[],
    { awayMilliseconds = 0, lostDisks = [] as string[] } = {},
  ): Promise<void> {
    const killed = names.map((name) => this.findHost(name));
    for (const { child } of killed) child.signal("SIGKILL");
    await Promise.all(killed.map(({ child }) => child.exited));
    for (const name of lostDisks) {
      rmSync(join(this.folder, name), { recursive: true, force: true });
    }
    await new Promise((resolve) => setTimeout(resolve, awayMilliseconds));
    await this.#startAgain(killed);
  }

  /** Kills a host for good. */
  async remove(name: string): Promise<void> {
    const host = this.findHost(name);
    host.child.signal("SIGKILL");
    await host.child.exited;
    this.#hosts = this.#hosts.filter((other) => other !== host);
  }

  /** Stops a host for good, as the platform does. */
  async removeGracefully(name: string): Promise<void> {
    const host = this.findHost(name);
    await this.#stopGracefully(host);
    this.#hosts = this.#hosts.filter((other) => other !== host);
  }

  /**
   * Stops a host as the platform does: it is killed if it still runs after the
   * grace time. Then starts it again on the same data and address.
   */
  async restartGracefully(name: string): Promise<void> {
    const host = this.findHost(name);
    await this.#stopGracefully(host);
    await this.#startAgain([host]);
  }

  /**
   * Changes a gateway's settings file, in which the control hosts come in another
   * order, and says so with SIGHUP.
   */
  reload(name: string): void {
    const settings = join(this.folder, `${name}.toml`);
    const text = readFileSync(settings, "utf8").replace(
      /^control_hosts = (\[.*\])$/m,
      (_all, hosts) =>
        `control_hosts = ${JSON.stringify(JSON.parse(hosts).toReversed())}`,
    );
    writeFileSync(settings, text);
    this.findHost(name).child.signal("SIGHUP");
  }

  async #stopGracefully({ child }: Host): Promise<void> {
    child.signal("SIGTERM");
    const timer = setTimeout(
      () => child.signal("SIGKILL"),
      1_000 * GRACE_SECONDS,
    );
    await child.exited;
    clearTimeout(timer);
  }

  async #startAgain(hosts: Host[]): Promise<void> {
    await Promise.all(hosts.map(({ child }) => child.exited));
    this.#hosts = this.#hosts.filter((host) => !hosts.includes(host));
    for (const { name } of hosts) {
      const [role, index] = name.split("-");
      this.start(role as Role, Number(index), { bootstrap: false });
    }
  }

  listProcesses(): { name: string; pid: number }[] {
    return this.#hosts.map(({ name, child }) => ({ name, pid: child.pid }));
  }

  findHost(name: string): Host {
    const host = this.#hosts.find((candidate) => candidate.name === name);
    if (host === undefined) throw new Error(`no host ${name} was started`);
    return host;
  }

  /**
   * Kills all processes, and deletes the cluster's folder unless its logs are
   * to be kept.
   */
  async stop({ keepLogs = false } = {}): Promise<void> {
    for (const { child } of this.#hosts) child.signal("SIGKILL");
    await Promise.all(this.#hosts.map(({ child }) => child.exited));
    if (keepLogs) return console.error(`logs are kept in ${this.folder}`);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Puts other addresses in the place of those that a line of settings quotes. */
function replaceAddresses(line: string, addresses: string[]): string {
  let index = 0;
  return line.replace(
    /"[^"]*"/g,
    () => `"${addresses[index++ % addresses.length]}"`,
  );
}
