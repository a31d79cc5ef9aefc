import { Child } from "@teaselrouter/experiments/harness/child.ts";
import { freeAddresses } from "@teaselrouter/experiments/harness/free_addresses.ts";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { renderTemplate } from "./render_template.ts";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const PROGRAM = join(ROOT, "target", "teaselrouterd.cjs");

/** Second number of the first host's address; those below are in use. */
const FIRST_HOST_NETWORK = 128;

type Role = "control" | "gateway" | "stager";
type Host = { name: string; ip: string; child: Child };

/**
 * Starts the bundled program on loopback hosts, with settings rendered from
 * the deploy templates as the platform renders them.
 */
export class StandInPlatform {
  readonly folder = mkdtempSync(join(tmpdir(), "teaselrouter-platform-"));
  #hosts: Host[] = [];
  #ports: { control: number; front: number; ready: number; inside: number } = {
    control: 0,
    front: 0,
    ready: 0,
    inside: 0,
  };
  #ip = "";
  #seeds: string[] = [];

  async prepare(controlHosts: number): Promise<void> {
    const addresses = await freeAddresses(5);
    const [control, front, ready, inside] = addresses.map((address) =>
      Number(address.split(":")[1])
    );
    this.#ports = {
      control: control!,
      front: front!,
      ready: ready!,
      inside: inside!,
    };
    this.#ip = addresses[0]!.split(":")[0]!;
    this.#seeds = Array.from(
      { length: controlHosts },
      (_, index) => `${this.ipOf(index)}:${control}`,
    );
  }

  /**
   * A loopback address of its own for each host, also beside other tests:
   * some ports are the same on all.
   */
  ipOf(index: number): string {
    const [first, , third, last] = this.#ip.split(".").map(Number);
    return `${first}.${FIRST_HOST_NETWORK + index}.${third}.${last}`;
  }

  get operations(): string[] {
    return this.#seeds.map((seed) => `http://${seed}`);
  }

  frontOf(ip: string): string {
    return `http://${ip}:${this.#ports.front}`;
  }

  readyOf(ip: string): string {
    return `http://${ip}:${this.#ports.ready}/readyz`;
  }

  start(
    role: Role,
    index: number,
    extra: Record<string, unknown> = {},
  ): Host {
    const ip = this.ipOf(index);
    const name = `${role}-${index}`;
    const { control, front, ready, inside } = this.#ports;
    const text = renderTemplate(
      readFileSync(join(ROOT, "deploy", `${role}.toml`), "utf8"),
      {
        nodeName: name,
        zone: "here",
        ip,
        listen: {
          frontend: `${ip}:${front}`,
          ready: `${ip}:${ready}`,
          controlPlane: `${ip}:${control}`,
        },
        internalPorts: [inside, inside + 1],
        seeds: this.#seeds,
        bootstrap: true,
        dataDir: join(this.folder, name),
        faultTolerance: { machines: 1 },
        limits: { linkMbps: 100 },
        bounds: { graceS: 8, version_ms: 8_000 },
        ...extra,
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

  /** Ends hosts without a word and starts them anew with the same settings. */
  async restart(names: string[]): Promise<void> {
    const ended = names.map((name) => this.find(name));
    for (const { child } of ended) child.signal("SIGKILL");
    await Promise.all(ended.map(({ child }) => child.exited));
    this.#hosts = this.#hosts.filter((host) => !ended.includes(host));
    for (const name of names) {
      const [role, index] = name.split("-");
      this.start(role as Role, Number(index), { bootstrap: false });
    }
  }

  find(name: string): Host {
    const host = this.#hosts.find((known) => known.name === name);
    if (host === undefined) throw new Error(`no host ${name} was started`);
    return host;
  }

  async stop(): Promise<void> {
    for (const { child } of this.#hosts) child.signal("SIGKILL");
    await Promise.all(this.#hosts.map(({ child }) => child.exited));
    rmSync(this.folder, { recursive: true, force: true });
  }
}
