import * as z from "zod";

const name = z.string().min(1).max(256);
const milliseconds = z.number().min(0);
const count = z.number().int().min(0);

const engineSchema = z.object({
  models: z.array(name),
  /** Requests that one engine runs at once. */
  slots: count,
  /** Tokens of context that fit beside the weights. */
  contextTokens: z.number().min(0),
  /** Chunks of one version; 0 where weights are not spread by the system. */
  weightChunks: count,
  weightChunkBytes: count,
  /** One decoding step: fixed part, and what each running request adds. */
  stepMilliseconds: milliseconds,
  stepPerRequestMilliseconds: milliseconds,
  stepPerThousandTokensMilliseconds: milliseconds,
  /** Prompt tokens read in a second. */
  readTokensPerSecond: z.number().min(0),
  /** Decoding steps between two looks at the queue. */
  stepsPerPass: count,
  /** Age of what a load report says. */
  reportLagMilliseconds: milliseconds,
});

const serviceSchema = z.object({
  name,
  /** Connections that one backend server takes from all callers together. */
  maxConnections: count,
  engine: engineSchema.optional(),
  /** Present for the weight store, which takes no requests of callers. */
  weightStore: z.object({ address: name, dataCentre: z.string() }).optional(),
});

const routeSchema = z.object({
  name,
  /** Lower case, without a port. */
  host: name,
  /** Begins and ends with a slash; the longest match wins. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  kind: z.enum(["safe", "unsafe", "stream"]),
  timeoutMilliseconds: z.number().positive(),
  /** An answer (a stream: its first event) within it has its full worth. */
  targetMilliseconds: milliseconds,
  /** 0 goes first. */
  priority: z.number(),
  targets: z.array(z.object({ service: name, weight: z.number().min(0) }))
    .min(1),
  /** Backend servers that one request may be sent to. */
  maxBackends: z.number().int().min(1),
  needsKey: z.boolean(),
  /** A stream that another backend server may go on with. */
  resumable: z.boolean(),
});

/** Which requests go where, for whom, and within which limits. */
export const routingConfigurationSchema = z.object({
  /** Larger replaces smaller; versions need not be consecutive. */
  version: z.number().int().min(0),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  callerLimits: z.object({
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: count,
    headerTimeoutMilliseconds: milliseconds,
    idleTimeoutMilliseconds: milliseconds,
  }),
  /** Without any, no request needs a key. */
  workspaces: z.array(z.object({
    name,
    keys: z.array(name),
    /** Goes before the route's priority. */
    priority: z.number().optional(),
  })),
});
