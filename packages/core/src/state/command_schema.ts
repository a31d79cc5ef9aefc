import * as z from "zod";
import { crashRowSchema } from "../crashes/crash_row_schema.ts";
import { contractContentSchema } from "../contracts/contract_content_schema.ts";
import { departureSchema } from "../departures/departure_schema.ts";
import { weightsManifestSchema } from "../spread/weights_manifest_schema.ts";

const boundedText = z.string().min(1).max(512);
const nonNegativeInteger = z.number().int().min(0);

/**
 * Validates any command that can be proposed to the replicated log. The time
 * `at` is in Unix milliseconds; the leader sets it when it proposes the
 * command, whatever the sender put there.
 */
export const commandSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("change-contract"),
    workspace: boundedText,
    /** Number of the row that the change replaces; 0 if there is none yet. */
    expected: nonNegativeInteger,
    content: contractContentSchema,
    retired: z.boolean(),
    digest: boundedText,
  }),
  z.strictObject({
    kind: z.literal("publish-weights"),
    service: boundedText,
    /** Number of the row that the change replaces; 0 if there is none yet. */
    expected: nonNegativeInteger,
    manifest: weightsManifestSchema,
    store: z.url().max(512),
    servingShare: z.number().min(0).max(1),
    digest: boundedText,
  }),
  z.strictObject({
    kind: z.literal("drain-backend"),
    backendServer: boundedText,
    drained: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("register-entry"),
    host: boundedText,
    dataCentre: boundedText,
    publicAddress: boundedText,
    internalAddress: boundedText,
    incarnation: boundedText,
    stopped: z.boolean(),
  }),
  z.strictObject({ kind: z.literal("remove-entry"), host: boundedText }),
  z.strictObject({
    kind: z.literal("claim"),
    workspace: boundedText,
    key: boundedText,
    service: boundedText,
    bodyDigest: boundedText,
    backendServer: boundedText,
    incarnation: boundedText,
    requestId: boundedText,
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("settle-claim"),
    workspace: boundedText,
    key: boundedText,
    claimIndex: nonNegativeInteger,
    outcome: z.enum(["ran", "unknown"]),
    status: nonNegativeInteger,
    contentType: z.string().max(256),
    /** Base64. */
    answer: z.string().max(131_072),
  }),
  z.strictObject({
    kind: z.literal("cancel-claim"),
    workspace: boundedText,
    key: boundedText,
    claimIndex: nonNegativeInteger,
  }),
  z.strictObject({
    kind: z.literal("request-permit"),
    service: boundedText,
    backendServer: boundedText,
    incarnation: boundedText,
    version: boundedText,
    wasServing: z.boolean(),
    /**
     * Live backend servers of the service, as counted by the entry host that
     * asks.
     */
    live: nonNegativeInteger,
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("replace-routing"),
    version: nonNegativeInteger,
    /** Unparsed, as the operator sent it; each user of it decodes it. */
    document: z.string(),
  }),
  z.strictObject({
    kind: z.literal("name-weights"),
    model: boundedText,
    version: nonNegativeInteger,
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("order-evacuation"),
    dataCentre: boundedText,
    isEvacuated: z.boolean(),
    /** Number of the row that the order replaces; 0 if there is none yet. */
    expected: nonNegativeInteger,
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("record-departures"),
    departures: z.array(departureSchema.omit({ at: true })).max(1_024),
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("blame-request"),
    fingerprint: boundedText,
    crashes: nonNegativeInteger,
    incarnations: z.array(boundedText).max(16),
    termMilliseconds: z.number().min(0),
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("suspect-request"),
    fingerprint: boundedText,
    incarnations: z.array(boundedText).max(16),
    at: z.number().default(0),
  }),
  z.strictObject({
    kind: z.literal("record-crash"),
    crash: crashRowSchema,
  }),
  z.strictObject({ kind: z.literal("lift-blame"), fingerprint: boundedText }),
  z.strictObject({
    kind: z.literal("settle-permit"),
    backendServer: boundedText,
    fencingToken: nonNegativeInteger,
  }),
]);
