import type { RoutingConfiguration } from "@teaselrouter/core/gateway/routing_configuration.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { WeightStore } from "../platform/weight_store.ts";
import { sleep } from "../transport/sleep.ts";
import type { ServiceTarget } from "./service_target.ts";

/** Versions are numbered from 1; an operator names only later ones. */
const FIRST_VERSION = 1;
const RETRY_DELAY_MILLISECONDS = 200;

type WantedManifest = {
  service: string;
  model: string;
  version: number;
  address: string;
};

type Options = {
  store: WeightStore;
  log: EventLog;
  latestNamedVersion: (model: string) => number | undefined;
};

/**
 * Fetches and keeps the manifest of the version that each service's engines
 * are to serve.
 */
export class ManifestFetcher {
  readonly target$ = new Subject<ServiceTarget>();
  #options: Options;
  /** Latest confirmed target of each service, by service name. */
  #targets = new Map<string, ServiceTarget>();
  #fetchKeys = new Map<string, string>();
  #isStopped = false;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
  }

  get targets(): ServiceTarget[] {
    return [...this.#targets.values()];
  }

  /**
   * Starts to fetch the manifests of versions that are not known yet. Called
   * when the configuration or a named version may have changed.
   */
  updateTargets(configuration: RoutingConfiguration): void {
    for (const wanted of this.#listWantedManifests(configuration)) {
      const key = `${wanted.model}@${wanted.version} ${wanted.address}`;
      const known = this.#targets.get(wanted.service);
      if (known?.model === wanted.model && known.version >= wanted.version) {
        continue;
      }
      if (this.#fetchKeys.get(wanted.service) === key) continue;
      this.#fetchKeys.set(wanted.service, key);
      this.#fetchUntilConfirmed(wanted, key);
    }
  }

  #listWantedManifests({ services }: RoutingConfiguration): WantedManifest[] {
    const address = services.find(({ weightStore }) => weightStore)
      ?.weightStore?.address;
    if (address === undefined) return [];
    return services.flatMap(({ name: service, engine }) => {
      const model = engine?.models[0];
      if (model === undefined || engine?.weightChunks === 0) return [];
      const version = this.#options.latestNamedVersion(model) ?? FIRST_VERSION;
      return [{ service, model, version, address }];
    });
  }

  async #fetchUntilConfirmed(
    wanted: WantedManifest,
    key: string,
  ): Promise<void> {
    const { store, log } = this.#options;
    const { service, model, version, address } = wanted;
    while (!this.#isStopped && this.#fetchKeys.get(service) === key) {
      const manifest = await this.#fetchConfirmed(wanted);
      if (this.#fetchKeys.get(service) !== key) return;
      if (manifest !== undefined) {
        this.#fetchKeys.delete(service);
        const target = {
          service,
          model,
          version,
          manifest,
          store: store.baseUrl(address),
        };
        this.#targets.set(service, target);
        log.info("weights-target", { service, model, version });
        return this.target$.next(target);
      }
      await sleep(RETRY_DELAY_MILLISECONDS);
    }
  }

  /**
   * Fetches the manifest twice in a row and returns it only if both reads
   * agree; undefined otherwise. With a manifest that was corrupted in transit,
   * every intact chunk would fail verification, permanently.
   */
  async #fetchConfirmed(
    wanted: WantedManifest,
  ): Promise<WeightsManifest | undefined> {
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
