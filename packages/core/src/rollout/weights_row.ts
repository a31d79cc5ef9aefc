import type { WeightsManifest } from "../spread/weights_manifest.ts";

/** The version that a service's backend servers are to serve. */
export type WeightsRow = {
  service: string;
  number: number;
  history: { number: number; digest: string }[];
  manifest: WeightsManifest;
  /** HTTP URL of the weight store that serves as the origin of the chunks. */
  store: string;
  /** Share of the service's backend servers that always serves, 0 to 1. */
  servingShare: number;
  /** Log index of the publication. */
  index: number;
};
