import * as z from "zod";
import { addressSchema } from "./address_schema.ts";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, {
  message: "must be 1 to 63 of a-z, 0-9, '.', '_' and '-'",
});

const bytesPerSecond = z.number().int().min(0);

/**
 * Bound on the retries of all hosts of a role: in any window, those of a service
 * are at most `ratio` times the requests for it plus `slack`.
 */
function createRetryBudgetSchema({ ratio }: { ratio: number }) {
  return z.strictObject({
    ratio: z.number().min(0).default(ratio),
    slack: z.number().min(0).default(100),
    window_seconds: z.number().positive().default(10),
  }).prefault({});
}

/** Schema of a settings file. */
export const settingsSchema = z.strictObject({
  /** Name of this process, unique in the system. */
  name,
  data_centre: name,
  /** Region of each data centre; data centres in no region are left out. */
  regions: z.record(z.string(), z.string().min(1)).default({}),
  roles: z.array(z.enum(["control", "entry", "agent", "gateway", "stager"]))
    .min(1),
  /** Connections between this process and others of the system. */
  internal: z.strictObject({
    /** Where other processes reach this one. */
    listen: addressSchema,
    /**
     * Addresses to dial instead, such as port forwards, by the address that the
     * other process listens on.
     */
    dial: z.record(z.string(), addressSchema).default({}),
    /**
     * Port that other processes listen on, for settings that list these hosts
     * with another of their ports. It replaces the port in the addresses of
     * `control.founders`, `gateway.control_hosts` and `stager.control_hosts`.
     */
    peer_port: z.number().int().min(1).max(65_535).optional(),
  }),
  /** What this process may use; callers get a part of it. */
  machine: z.strictObject({
    /** All of the machine's memory if absent. */
    memory_megabytes: z.number().positive().optional(),
    /** Files and connections that may be open at once. */
    descriptors: z.number().int().min(64).default(4_096),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
  /** Metrics are exported only if set. */
  metrics: z.strictObject({
    /** StatsD server for counters and timings, for deployments that use one. */
    statsd: addressSchema.optional(),
    prefix: z.string().max(64).default("teaselrouter."),
    /** Address that serves counters and histograms as text. */
    listen: addressSchema.optional(),
  }).optional(),
  control: z.strictObject({
    data_folder: z.string().min(1),
    /**
     * The first voters. With `tolerated_losses` set, this control host need not
     * be among them: it then asks them to be added as a member.
     */
    founders: z.array(
      z.strictObject({ name: name.optional(), address: addressSchema }),
    ).min(1),
    /**
     * Whether a founder with an empty data folder may bootstrap the cluster.
     * Only used if `tolerated_losses` is set.
     */
    may_found: z.boolean().default(true),
    /**
     * Number of control hosts that may be lost at the same time. If it is set,
     * members are added and replaced without operators, up to twice this number
     * plus one voters.
     */
    tolerated_losses: z.number().int().min(0).max(4).optional(),
    /** Address for calls from the platform's operators and backend servers. */
    operations_listen: addressSchema.optional(),
    /**
     * Data centres that operators may evacuate, besides those that hosts or
     * backend servers are in. Any may be if the list is empty.
     */
    data_centres: z.array(name).default([]),
    election_milliseconds: z.number().int().min(50).max(60_000).default(600),
    heartbeat_milliseconds: z.number().int().min(10).max(10_000).default(200),
    spread_weighing: z.enum(["time", "origin-bytes", "haste"]).default("time"),
    /** Size of a log segment at which a snapshot is taken. */
    snapshot_bytes: z.number().int().min(4_096).default(16_777_216),
  }).optional(),
  entry: z.strictObject({
    listen: addressSchema,
    control_hosts: z.array(addressSchema).min(1),
    spread_weighing: z.enum(["time", "origin-bytes", "haste"]).default("time"),
    /** Time from `/ready` answering 503 until the process stops listening. */
    drain_milliseconds: z.number().int().min(0).default(2_000),
    /** Maximum time without data from a caller within its request. */
    request_idle_milliseconds: z.number().int().min(100).default(10_000),
    /** One-way latency to another data centre. */
    crossing_milliseconds: z.number().min(0).default(2),
    /** Bounds the retries that backend servers get from all entry hosts. */
    retry_budget: createRetryBudgetSchema({ ratio: 0.16 }),
  }).optional(),
  agent: z.strictObject({
    /**
     * Address on which the backend server announces itself and other agents
     * fetch chunks.
     */
    listen: addressSchema,
    entry_hosts: z.array(addressSchema).min(1),
    /** Rate of this host's link in each direction; 0 for no limit. */
    link_bytes_per_second: bytesPerSecond.default(0),
    /**
     * Maximum rate at which this agent sends weights to each other data centre:
     * the rate of the link to the other data centres, divided by their number.
     * 0 for no limit.
     */
    region_bytes_per_second: bytesPerSecond.default(0),
    /** Minimum time between announcing the stop and ending. */
    drain_milliseconds: z.number().int().min(0).default(2_000),
  }).optional(),
  /** Sends a platform's requests directly to backend servers. */
  gateway: z.strictObject({
    listen: addressSchema,
    /** Address of the load balancer's readiness check. */
    ready_listen: addressSchema,
    control_hosts: z.array(addressSchema).min(1),
    /**
     * Time from the start of a planned stop until the process is killed. The
     * stop ends within it.
     */
    grace_milliseconds: z.number().int().min(1_000).default(8_000),
    /**
     * Once a version has been named for this long, no request may begin on
     * older weights.
     */
    weights_bound_milliseconds: z.number().int().min(0).default(8_000),
    /** Bounds the retries that backend servers get from all gateways. */
    retry_budget: createRetryBudgetSchema({ ratio: 0.2 }),
    /**
     * Bounds the requests to backend servers that have just started, for
     * services whose configuration says what these bear. Without it nothing is
     * bounded.
     */
    cold_servers: z.strictObject({
      /**
       * In any second, a cold backend server gets at most this multiple of the
       * requests per second that it bears,
       */
      overshoot: z.number().min(0),
      /** plus this many. */
      slack: z.number().min(0),
      /**
       * The rate is divided among at least this many gateways. Control hosts
       * tell how many there are; this one is a margin for some that they don't
       * know of, since all of them have started anew.
       */
      min_gateways: z.number().int().min(1).default(6),
    }).optional(),
    /** Bytes of request bodies held at once; a fifth of the memory if absent. */
    max_held_body_bytes: z.number().int().positive().optional(),
  }).optional(),
  /** Loads weights into the model engine on the same host. */
  stager: z.strictObject({
    /** Address on which the engine takes requests and load orders. */
    engine: addressSchema,
    service: z.string().min(1),
    /** Address on which other stagers fetch chunks. */
    listen: addressSchema,
    control_hosts: z.array(addressSchema).min(1),
    /**
     * Once a version has been named for this long, no request may begin on
     * older weights.
     */
    weights_bound_milliseconds: z.number().int().min(0).default(8_000),
    /** Rate of this host's link in each direction; 0 for no limit. */
    link_megabits_per_second: z.number().min(0).default(0),
    /**
     * Share of the link that transfers of weights may use while the engine has
     * no requests; 0.85 beside requests, and in any case if this is lower.
     */
    idle_chunk_link_share: z.number().min(0).max(1).default(0.85),
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
