import * as z from "zod";
import { contractContentSchema } from "../contracts/contract_content_schema.ts";
import { weightsManifestSchema } from "../spread/weights_manifest_schema.ts";

const text = z.string().min(1).max(512);
const number = z.number().int().min(0);

/** Everything that can be proposed to the replicated log. */
export const commandSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("change-contract"),
    workspace: text,
    expected: number,
    content: contractContentSchema,
    retired: z.boolean(),
    digest: text,
  }),
  z.strictObject({
    kind: z.literal("publish-weights"),
    service: text,
    expected: number,
    manifest: weightsManifestSchema,
    store: z.url().max(512),
    servingShare: z.number().min(0).max(1),
    digest: text,
  }),
  z.strictObject({
    kind: z.literal("drain-backend"),
    backendServer: text,
    drained: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("register-entry"),
    host: text,
    dataCentre: text,
    publicAddress: text,
    internalAddress: text,
    incarnation: text,
    stopped: z.boolean(),
  }),
  z.strictObject({ kind: z.literal("remove-entry"), host: text }),
  z.strictObject({
    kind: z.literal("claim"),
    workspace: text,
    key: text,
    service: text,
    bodyDigest: text,
    backendServer: text,
    incarnation: text,
    requestId: text,
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("settle-claim"),
    workspace: text,
    key: text,
    claimIndex: number,
    outcome: z.enum(["ran", "unknown"]),
    status: number,
    contentType: z.string().max(256),
    /** Base64. */
    answer: z.string().max(131_072),
  }),
  z.strictObject({
    kind: z.literal("cancel-claim"),
    workspace: text,
    key: text,
    claimIndex: number,
  }),
  z.strictObject({
    kind: z.literal("request-permit"),
    service: text,
    backendServer: text,
    incarnation: text,
    version: text,
    wasServing: z.boolean(),
    live: number,
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("replace-routing"),
    version: number,
    /** As the operator sent it; decoded where it is used. */
    document: z.string(),
  }),
  z.strictObject({
    kind: z.literal("name-weights"),
    model: text,
    version: number,
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("blame-request"),
    fingerprint: text,
    crashes: number,
    incarnations: z.array(text).max(16),
    termMilliseconds: z.number().min(0),
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("suspect-request"),
    fingerprint: text,
    incarnations: z.array(text).max(16),
    at: z.number().default(0),
  }),
  z.strictObject({ kind: z.literal("lift-blame"), fingerprint: text }),
  z.strictObject({
    kind: z.literal("settle-permit"),
    backendServer: text,
    fencingToken: number,
  }),
]);
