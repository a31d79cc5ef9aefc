import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";

/** The version that a service's engines are to serve. */
export type WeightsTargetRow = {
  service: string;
  model: string;
  version: number;
  manifest: WeightsManifest;
  /** URL of the weight store. */
  store: string;
};
