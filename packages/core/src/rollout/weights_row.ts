import type { WeightsManifest } from "../spread/weights_manifest.ts";

/** The version that a service's backend servers are to serve. */
export type WeightsRow = {
  service: string;
  number: number;
  history: { number: number; digest: string }[];
  manifest: WeightsManifest;
  /** Where the origin's chunks are, http URL. */
  store: string;
  /** Part of the service's backend servers that serves at all times. */
  servingShare: number;
  /** Log index of the publication. */
  index: number;
};
