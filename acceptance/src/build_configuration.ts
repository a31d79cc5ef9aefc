type Item = { name: string };
/** Fields to replace by item; null removes the item, a new name adds one. */
type Changes = Record<string, Record<string, unknown> | null>;

/** What a configuration says other than the usual one. */
export type ConfigurationChange = {
  /** Keys of the only tenant. */
  keys?: string[];
  limits?: Partial<typeof USUAL_LIMITS>;
  routes?: Changes;
  services?: Changes;
  tenants?: Changes;
  /** Of all routes. */
  routeTimeoutMilliseconds?: number;
  /** Backend servers that one request may be sent to. */
  maxAttempts?: number;
  /** Requests that each engine runs at the same time. */
  slots?: number;
  /** Further routes to the service without an engine. */
  extraRoutes?: number;
};

type Options = ConfigurationChange & {
  version: number;
  store: string;
  model: string;
  chunks: number;
};

const USUAL_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 5_000,
};

/**
 * Builds a configuration as an operator sends it: a service without an engine,
 * one with an engine, a weight store, and a route of each type.
 */
export function buildConfiguration(options: Options) {
  const usual = buildUsualConfiguration(options);
  return {
    ...usual,
    routes: applyChanges(usual.routes, options.routes),
    services: applyChanges(usual.services, options.services),
    limits: { ...USUAL_LIMITS, ...options.limits },
    tenants: applyChanges(usual.tenants, options.tenants),
  };
}

function applyChanges(items: Item[], changes: Changes = {}): Item[] {
  const names = items.map(({ name }) => name);
  const added = Object.keys(changes).filter((name) => !names.includes(name));
  return [...items, ...added.map((name) => ({ name }))]
    .filter(({ name }) => changes[name] !== null)
    .map((item) => ({ ...item, ...changes[item.name] }));
}

function buildUsualConfiguration(
  options: Options,
) {
  const { version, store, model, chunks, keys = ["key-1"] } = options;
  const { routeTimeoutMilliseconds = 2_000, maxAttempts = 2 } = options;
  const { slots = 4, extraRoutes = 0 } = options;
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
    tenants: [{ name: "tenant-1", apiKeys: keys, priority: 1 }],
  };
}
