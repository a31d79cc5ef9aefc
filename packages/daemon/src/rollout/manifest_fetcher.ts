import type { RoutingConfiguration } from "@teaselrouter/core/gateway/routing_configuration.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { WeightStore } from "../platform/weight_store.ts";
import { pause } from "../transport/pause.ts";
import type { WeightsTargetRow } from "./weights_target_row.ts";

/** Versions start here; an operator names only later ones. */
const FIRST_VERSION = 1;
const RETRY_MILLISECONDS = 200;

type Wanted = {
  service: string;
  model: string;
  version: number;
  address: string;
};

type Options = {
  store: WeightStore;
  log: EventLog;
  namedVersion: (model: string) => number | undefined;
};

/** Keeps the manifest of every version that is to be served. */
export class ManifestKeeper {
  readonly target$ = new Subject<WeightsTargetRow>();
  #options: Options;
  /** By service. */
  #targets = new Map<string, WeightsTargetRow>();
  #fetching = new Map<string, string>();
  #stopped = false;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped = true;
  }

  get targets(): WeightsTargetRow[] {
    return [...this.#targets.values()];
  }

  /** Called when the configuration or a named version may have changed. */
  review(configuration: RoutingConfiguration): void {
    for (const wanted of this.#wanted(configuration)) {
      const key = `${wanted.model}@${wanted.version} ${wanted.address}`;
      const held = this.#targets.get(wanted.service);
      if (held?.model === wanted.model && held.version >= wanted.version) {
        continue;
      }
      if (this.#fetching.get(wanted.service) === key) continue;
      this.#fetching.set(wanted.service, key);
      this.#fetch(wanted, key);
    }
  }

  #wanted({ services }: RoutingConfiguration): Wanted[] {
    const address = services.find(({ weightStore }) => weightStore)
      ?.weightStore?.address;
    if (address === undefined) return [];
    return services.flatMap(({ name: service, engine }) => {
      const model = engine?.models[0];
      if (model === undefined || engine?.weightChunks === 0) return [];
      const version = this.#options.namedVersion(model) ?? FIRST_VERSION;
      return [{ service, model, version, address }];
    });
  }

  async #fetch(wanted: Wanted, key: string): Promise<void> {
    const { store, log } = this.#options;
    const { service, model, version, address } = wanted;
    while (!this.#stopped && this.#fetching.get(service) === key) {
      const manifest = await this.#fetchAlike(wanted);
      if (this.#fetching.get(service) !== key) return;
      if (manifest !== undefined) {
        this.#fetching.delete(service);
        const target = {
          service,
          model,
          version,
          manifest,
          store: store.urlOf(address),
        };
        this.#targets.set(service, target);
        log.info("weights-target", { service, model, version });
        return this.target$.next(target);
      }
      await pause(RETRY_MILLISECONDS);
    }
  }

  /**
   * A manifest that was spoilt on its way would make every good chunk look
   * bad, for good: it is taken only when two reads in a row agree.
   */
  async #fetchAlike(wanted: Wanted): Promise<WeightsManifest | undefined> {
    const { store, log } = this.#options;
    const { model, version, address } = wanted;
    const reads = [
      await store.fetchManifest(address, model, version),
      await store.fetchManifest(address, model, version),
    ];
    for (const read of reads) {
      if (read.isErr) log.warn("manifest-failed", { reason: read.error });
    }
    const [first, second] = reads.map((read) =>
      read.isOk ? read.value : undefined
    );
    if (first === undefined || second === undefined) return undefined;
    return JSON.stringify(first) === JSON.stringify(second) ? first : undefined;
  }
}
