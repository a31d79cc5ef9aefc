import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";

/** The version of a model that a service's engines are to serve. */
export type ServiceTarget = {
  service: string;
  model: string;
  version: number;
  manifest: WeightsManifest;
  /** URL of the weight store that chunks are requested from. */
  store: string;
};
