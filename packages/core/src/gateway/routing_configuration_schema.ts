import * as z from "zod";

const name = z.string().min(1).max(256);
const milliseconds = z.number().min(0);
const count = z.number().int().min(0);

/** Regions whose backend servers may get requests; empty for all. */
const permittedRegions = z.array(name).optional();

const engineSchema = z.object({
  models: z.array(name),
  /**
   * Requests that one engine runs concurrently. Not used by teaselrouter, which
   * uses the slots that each backend server announces.
   */
  slots: count,
  /**
   * Context tokens that fit in an engine's memory beside the weights. Not used
   * by teaselrouter.
   */
  contextTokens: z.number().min(0),
  /**
   * Chunks of one weight version; 0 if teaselrouter does not distribute the
   * service's weights.
   */
  weightChunks: count,
  /** Not used by teaselrouter. */
  weightChunkBytes: count,
  /** Fixed part of the duration of one decoding step. */
  stepMilliseconds: milliseconds,
  /**
   * Part of a decoding step's duration that each running request adds. Not used
   * by teaselrouter.
   */
  stepPerRequestMilliseconds: milliseconds,
  /**
   * Part of a decoding step's duration that each thousand tokens of context
   * add. Not used by teaselrouter.
   */
  stepPerThousandTokensMilliseconds: milliseconds,
  /** Prompt tokens that one engine prefills per second. */
  readTokensPerSecond: z.number().min(0),
  /** Decoding steps between two checks of the queue; together, one pass. */
  stepsPerPass: count,
  /** Age of a load report's data. Not used by teaselrouter. */
  reportLagMilliseconds: milliseconds,
});

const serviceSchema = z.object({
  name,
  /**
   * Connections that one backend server accepts from all callers together. Not
   * used by teaselrouter.
   */
  maxConnections: count,
  engine: engineSchema.optional(),
  /** Absent if cold backend servers need no bound on their requests. */
  coldStart: z.object({
    /** Time after a start during traffic in which a backend server is cold. */
    milliseconds,
    /** Requests that it bears then from all gateways together. */
    requestsPerSecond: z.number().positive(),
  }).optional(),
  /** Present for the weight store, which serves no client requests. */
  weightStore: z.object({ address: name, dataCentre: z.string() }).optional(),
});

const routeSchema = z.object({
  name,
  /** Host name in lower case, without a port. */
  host: name,
  /** Begins and ends with a slash; the longest match wins. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  kind: z.enum(["safe", "unsafe", "stream"]),
  timeoutMilliseconds: z.number().positive(),
  /**
   * Target time for the response, or for a stream its first event: only within
   * it does the response have its full value.
   */
  targetMilliseconds: milliseconds,
  /** 0 is the highest priority: the opposite of a contract's `priority`. */
  priority: z.number(),
  /** Services among which the route's requests are divided by weight. */
  targets: z.array(z.object({ service: name, weight: z.number().min(0) }))
    .min(1),
  /** Maximum number of backend servers that one request may be sent to. */
  maxBackends: z.number().int().min(1),
  needsKey: z.boolean(),
  /** Whether another backend server may resume a broken stream. */
  resumable: z.boolean(),
  permittedRegions,
});

/** Routes, services, limits for callers, and workspaces with their keys. */
export const routingConfigurationSchema = z.object({
  /**
   * A higher version replaces a lower one; versions need not be consecutive.
   */
  version: z.number().int().min(0),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  callerLimits: z.object({
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: count,
    headerTimeoutMilliseconds: milliseconds,
    idleTimeoutMilliseconds: milliseconds,
  }),
  /** If empty, no request needs a key. */
  workspaces: z.array(z.object({
    name,
    keys: z.array(name),
    /** Overrides the route's priority. */
    priority: z.number().optional(),
    /** Binds besides the route's. */
    permittedRegions,
  })),
});
