import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { Result } from "true-myth";

/** The store from which versions of weights are fetched. */
export interface WeightStore {
  /** The result may be corrupt: use it only after two identical reads. */
  fetchManifest(
    address: string,
    options: { model: string; version: number; signal: AbortSignal },
  ): Promise<Result<WeightsManifest, string>>;
  /** Base URL for the chunks of the store at `address`. */
  baseUrl(address: string): string;
}
