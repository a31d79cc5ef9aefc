import type { RoutingConfiguration } from "@teaselrouter/core/gateway/routing_configuration.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { WeightStore } from "../platform/weight_store.ts";
import { ManifestReader } from "./manifest_reader.ts";
import type { ServiceTarget } from "./service_target.ts";

/** Versions are numbered from 1; an operator names only later ones. */
const FIRST_VERSION = 1;

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
  /** Readers of manifests that are not known yet, by service name. */
  #readers = new Map<string, { key: string; reader: ManifestReader }>();

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    for (const { reader } of this.#readers.values()) reader.stop();
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
      const current = this.#readers.get(wanted.service);
      if (current?.key === key) continue;
      current?.reader.stop();
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
    const reader = new ManifestReader({
      read: (signal) =>
        store.fetchManifest(address, { model, version, signal }),
      log,
    });
    this.#readers.set(service, { key, reader });
    const manifest = await reader.run();
    if (manifest === undefined) return;
    this.#readers.delete(service);
    const target = {
      service,
      model,
      version,
      manifest,
      store: store.baseUrl(address),
    };
    this.#targets.set(service, target);
    log.info("weights-target", { service, model, version });
    this.target$.next(target);
  }
}
