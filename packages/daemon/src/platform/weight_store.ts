import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type { Result } from "true-myth";

/** Where versions of weights come from. */
export interface WeightStore {
  /** May come spoilt: it counts only once it was read alike twice. */
  fetchManifest(
    address: string,
    model: string,
    version: number,
  ): Promise<Result<WeightsManifest, string>>;
  /** The URL that chunks are asked under. */
  urlOf(address: string): string;
}
