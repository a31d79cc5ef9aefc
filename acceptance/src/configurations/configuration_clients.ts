import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { EndToEndSystem } from "../end_to_end_system.ts";
import type { ConfigurationOperator } from "./configuration_operator.ts";
import type { ConfigurationRecord } from "./configuration_record.ts";
import { MARKED_VERSIONS } from "./marked_versions.ts";

const INTERVAL_MILLISECONDS = 40;
/** Beyond the time within which a version has to be in force. */
const OLD_MARGIN_MILLISECONDS = 200;

type Options = {
  system: EndToEndSystem;
  operator: ConfigurationOperator;
  record: ConfigurationRecord;
};

/** A request whose answer shows whether a gateway obeys at least a version. */
type Probe = { path: string; key: string; newer: number; older: number };

/** Clients that show which configuration each gateway obeys. */
export class ConfigurationClients {
  #options: Options;
  #isStopped = false;
  #sent = 0;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async run(): Promise<void> {
    const { gatewayIps } = this.#options.system;
    const requests: Promise<void>[] = [];
    while (!this.#isStopped) {
      for (const gateway of gatewayIps) requests.push(this.#sendNext(gateway));
      this.#sent += 1;
      await sleep(INTERVAL_MILLISECONDS);
    }
    await Promise.all(requests);
  }

  async #sendNext(gateway: string): Promise<void> {
    const { operator, record } = this.#options;
    const now = performance.now();
    const isOld = this.#sent % 2 === 0;
    const version = operator.newestAcknowledged(
      isOld ? now - record.bounds.apply - OLD_MARGIN_MILLISECONDS : now,
    );
    // Newer documents bear no mark of so old a version.
    const distance = operator.version - version;
    if (version === 0 || distance >= MARKED_VERSIONS) return;
    const probes = listProbes(version);
    const probe = probes[Math.floor(this.#sent / 2) % (probes.length + 1)];
    const { path, key } = probe ?? { path: "/look/x", key: "key-1" };
    const status = await this.#request(gateway, path, key);
    if (probe === undefined || (probe === probes[0] && isOld)) {
      const isAdded = probe !== undefined;
      record.requests.push({
        at: now,
        gateway,
        isAdded,
        served: status === 200,
      });
    }
    if (probe === undefined) return;
    record.observations.push({
      gateway,
      from: now,
      to: performance.now(),
      atLeast: status === probe.newer ? version : undefined,
      olderThan: status === probe.older ? version : undefined,
    });
  }

  async #request(gateway: string, path: string, key: string): Promise<number> {
    const id = `probe-${this.#sent}-${gateway}`;
    try {
      const { system } = this.#options;
      return (await system.sendRequest(path, { id, gateway, key })).status;
    } catch {
      return 0;
    }
  }
}

function listProbes(version: number): Probe[] {
  return [
    { path: `/since-${version}/x`, key: "key-1", newer: 200, older: 404 },
    { path: `/until-${version}/x`, key: "key-1", newer: 404, older: 200 },
    { path: "/look/x", key: `key-since-${version}`, newer: 200, older: 401 },
    { path: "/look/x", key: `key-until-${version}`, newer: 401, older: 200 },
  ];
}
