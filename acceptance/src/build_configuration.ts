type Options = {
  version: number;
  store: string;
  model: string;
  chunks: number;
  keys?: string[];
  maxHeaderBytes?: number;
  routeTimeoutMilliseconds?: number;
  maxAttempts?: number;
};

/**
 * Builds a configuration as an operator sends it: a service without an engine,
 * one with an engine, a weight store, and a route of each type.
 */
export function buildConfiguration(options: Options) {
  const { version, store, model, chunks, keys = ["key-1"] } = options;
  const { maxHeaderBytes = 16_384, routeTimeoutMilliseconds = 2_000 } = options;
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
    ],
    services: [
      { ...service, name: "plain", maxConnections: 50 },
      {
        ...service,
        name: "writer",
        maxConnections: 50,
        engine: {
          slots: 4,
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
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 5_000,
    },
    tenants: [{ name: "tenant-1", apiKeys: keys, priority: 1 }],
  };
}
