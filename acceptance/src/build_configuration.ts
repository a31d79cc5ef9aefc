/** What a configuration says otherwise than by default. */
export type ConfigurationChanges = {
  keys?: string[];
  maxHeaderBytes?: number;
  headerTimeoutMs?: number;
  idleTimeoutMs?: number;
  /** Of all routes. */
  routeTimeoutMilliseconds?: number;
  /** Requests that each engine runs at the same time. */
  slots?: number;
  /** Further routes to the service without an engine. */
  extraRoutes?: number;
};

type Options = {
  version: number;
  store: string;
  model: string;
  chunks: number;
  maxAttempts?: number;
} & ConfigurationChanges;

/**
 * Builds a configuration as an operator sends it: a service without an engine,
 * one with an engine, a weight store, and a route of each type.
 */
export function buildConfiguration(options: Options) {
  const { version, store, model, chunks, keys = ["key-1"] } = options;
  const { maxHeaderBytes = 16_384, headerTimeoutMs = 1_000 } = options;
  const { idleTimeoutMs = 5_000, slots = 4, extraRoutes = 0 } = options;
  const { routeTimeoutMilliseconds = 2_000 } = options;
  const { maxAttempts = 2 } = options;
  const route = {
    timeoutMs: routeTimeoutMilliseconds,
    sloMs: 100,
    priority: 1,
    maxAttempts,
    public: false,
  };
  const service = { healthPath: "/healthz", protocol: "h1", tls: false };
  return {
    version,
    routes: [
      {
        ...route,
        name: "look",
        host: "desk.example",
        pathPrefix: "/look/",
        type: "safe",
        service: "plain",
      },
      {
        ...route,
        name: "pay",
        host: "desk.example",
        pathPrefix: "/pay/",
        type: "unsafe",
        service: "plain",
      },
      {
        ...route,
        name: "write",
        host: "desk.example",
        pathPrefix: "/write/",
        type: "streaming",
        service: "writer",
        resumable: true,
        sticky: true,
        itlSloMs: 300,
      },
      ...Array.from({ length: extraRoutes }, (_, index) => ({
        ...route,
        name: `extra-${index}`,
        host: "desk.example",
        pathPrefix: `/extra-${index}/`,
        type: "safe",
        service: "plain",
      })),
    ],
    services: [
      { ...service, name: "plain", maxConnections: 50 },
      {
        ...service,
        name: "writer",
        maxConnections: 50,
        engine: {
          slots,
          models: [{ name: model }],
          chunks,
          chunkBytes: 4_096,
          read_per_s: 30_000,
        },
      },
      {
        name: "store",
        origin: store,
        zone: "here",
        linkMbps: 15,
        maxConnections: 48,
      },
    ],
    limits: {
      maxHeaderBytes,
      maxBodyBytes: 65_536,
      headerTimeoutMs,
      idleTimeoutMs,
    },
    tenants: [{ name: "tenant-1", apiKeys: keys, priority: 1 }],
  };
}
