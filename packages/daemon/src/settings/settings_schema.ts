import * as z from "zod";
import { addressSchema } from "./address_schema.ts";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, {
  message: "must be 1 to 63 of a-z, 0-9, '.', '_' and '-'",
});

const bytesPerSecond = z.number().int().min(0);

/** Everything that a settings file may say. */
export const settingsSchema = z.strictObject({
  /** This process's name, unlike any other's. */
  name,
  data_centre: name,
  roles: z.array(z.enum(["control", "entry", "agent", "gateway", "stager"]))
    .min(1),
  /** Where other processes of the system reach this one. */
  internal: z.strictObject({
    listen: addressSchema,
    /** Other addresses to dial, by the address that a process listens on. */
    dial: z.record(z.string(), addressSchema).default({}),
    /**
     * Port that other processes listen on, where the lists of addresses here
     * name those hosts by another of their ports.
     */
    peer_port: z.number().int().min(1).max(65_535).optional(),
  }),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
  /** Off unless set. */
  metrics: z.strictObject({
    /** Where counters are sent; for deployments that collect them so. */
    statsd: addressSchema.optional(),
    prefix: z.string().max(64).default("teaselrouter."),
    /** Where counters and histograms are served as text. */
    listen: addressSchema.optional(),
  }).optional(),
  control: z.strictObject({
    data_folder: z.string().min(1),
    /**
     * The first voters. With `tolerated_losses` set this one need not be among
     * them: it then asks them to be taken in.
     */
    founders: z.array(
      z.strictObject({ name: name.optional(), address: addressSchema }),
    ).min(1),
    /** Whether an empty data folder may found the log. */
    may_found: z.boolean().default(true),
    /**
     * Hosts whose loss at the same time is to be borne. Members are then taken
     * in and replaced without operators, to two voters for each and one more.
     */
    tolerated_losses: z.number().int().min(0).max(4).optional(),
    /** Where the platform's operators and backend servers call. */
    operations_listen: addressSchema.optional(),
    election_milliseconds: z.number().int().min(50).max(60_000).default(600),
    heartbeat_milliseconds: z.number().int().min(10).max(10_000).default(200),
    spread_weighing: z.enum(["time", "origin-bytes", "haste"]).default("time"),
    /** A snapshot is taken when the log has grown by so much. */
    snapshot_bytes: z.number().int().min(4_096).default(16_777_216),
  }).optional(),
  entry: z.strictObject({
    listen: addressSchema,
    control_hosts: z.array(addressSchema).min(1),
    spread_weighing: z.enum(["time", "origin-bytes", "haste"]).default("time"),
    /** Between `/ready` turning 503 and the end of listening. */
    drain_milliseconds: z.number().int().min(0).default(2_000),
    /** Longest silence of a caller in the middle of its request. */
    request_idle_milliseconds: z.number().int().min(100).default(10_000),
    /** One way to another data centre. */
    crossing_milliseconds: z.number().min(0).default(2),
  }).optional(),
  agent: z.strictObject({
    /** Where the backend server announces itself and agents fetch chunks. */
    listen: addressSchema,
    entry_hosts: z.array(addressSchema).min(1),
    /** Of this host's link; 0 is not limited. */
    link_bytes_per_second: bytesPerSecond.default(0),
    /** Sent to each other data centre: the link's rate by their number. */
    region_bytes_per_second: bytesPerSecond.default(0),
    /** Between announcing the stop and ending. */
    drain_milliseconds: z.number().int().min(0).default(2_000),
  }).optional(),
  /** Takes a platform's requests to backend servers directly. */
  gateway: z.strictObject({
    listen: addressSchema,
    /** Where the balancer asks whether to send new connections. */
    ready_listen: addressSchema,
    control_hosts: z.array(addressSchema).min(1),
    /** A planned stop ends within it: time until the process is killed. */
    grace_milliseconds: z.number().int().min(1_000).default(8_000),
    /** After it is named no request may begin on older weights. */
    weights_bound_milliseconds: z.number().int().min(0).default(8_000),
    /** Extra sends for each request, over all hosts together. */
    retry_ratio: z.number().min(0).max(1).default(0.1),
  }).optional(),
  /** Brings weights to the model engine beside it. */
  stager: z.strictObject({
    /** Where requests go to the engine; orders too. */
    engine: addressSchema,
    service: z.string().min(1),
    /** Where other stagers fetch chunks. */
    listen: addressSchema,
    control_hosts: z.array(addressSchema).min(1),
    /** After it is named no request may begin on older weights. */
    weights_bound_milliseconds: z.number().int().min(0).default(8_000),
    /** Of this host's link, each way; 0 is not limited. */
    link_megabits_per_second: z.number().min(0).default(0),
  }).optional(),
}).superRefine((settings, context) => {
  for (const role of settings.roles) {
    if (settings[role] !== undefined) continue;
    context.addIssue({
      code: "custom",
      path: [role],
      message: `must be there, because roles has "${role}"`,
    });
  }
});
