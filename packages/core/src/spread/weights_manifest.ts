import type * as z from "zod";
import type { weightsManifestSchema } from "./weights_manifest_schema.ts";

/** A validated manifest of one version of a model's weights. */
export type WeightsManifest = z.infer<typeof weightsManifestSchema>;
