import { z } from "zod";
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
  roles: z.array(z.enum(["control", "entry", "agent"])).min(1),
  /** Where other processes of the system reach this one. */
  internal: z.strictObject({
    listen: addressSchema,
    /** Other addresses to dial, by the address that a process listens on. */
    dial: z.record(z.string(), addressSchema).default({}),
  }),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
  /** Off unless set. */
  metrics: z.strictObject({
    statsd: addressSchema,
    prefix: z.string().max(64).default("teaselrouter."),
  }).optional(),
  control: z.strictObject({
    data_folder: z.string().min(1),
    /** The first voters, this one among them. */
    founders: z.array(z.strictObject({ name, address: addressSchema })).min(1),
    election_milliseconds: z.number().int().min(50).max(60_000).default(600),
    heartbeat_milliseconds: z.number().int().min(10).max(10_000).default(200),
    /** A snapshot is taken when the log has grown by so much. */
    snapshot_bytes: z.number().int().min(4_096).default(16_777_216),
  }).optional(),
  entry: z.strictObject({
    listen: addressSchema,
    control_hosts: z.array(addressSchema).min(1),
    spread_weighing: z.enum(["time", "origin-bytes"]).default("time"),
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
