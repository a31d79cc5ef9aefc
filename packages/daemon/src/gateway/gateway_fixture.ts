import { createTestIntake } from "../http/intake_fixture.ts";
import { parseJson } from "../http/parse_json.ts";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import { ListeningTime } from "@teaselrouter/core/gateway/listening_time.ts";
import { PatienceEstimator } from "@teaselrouter/core/gateway/patience_estimator.ts";
import type { RoutingConfiguration } from "@teaselrouter/core/gateway/routing_configuration.ts";
import { createDefaultTerms } from "@teaselrouter/core/dispatch/create_default_terms.ts";
import type { DispatchTerms } from "@teaselrouter/core/dispatch/dispatch_terms.ts";
import { EvacuationRule } from "@teaselrouter/core/evacuations/evacuation_rule.ts";
import { createSavedRetries } from "@teaselrouter/core/retries/saved_retries_fixture.ts";
import { BackendState } from "@teaselrouter/messages/follow.ts";
import { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import { map, merge, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { RequestFormat } from "../platform/request_format.ts";
import type { FollowSet } from "../transport/follow_set.ts";
import { decodeToldEnds } from "../transport/decode_told_ends.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { BackendConnections } from "./backend_connections.ts";
import { BackendPool } from "./backend_pool.ts";
import { ControlFeed } from "./control_feed.ts";
import { CrashReporter } from "./crash_reporter.ts";
import { CrashWatch } from "./crash_watch.ts";
import { GivenUpWatch } from "./given_up_watch.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { GatewayServer } from "./gateway_server.ts";
import { NamedLimits } from "./named_limits.ts";
import { ServerPushbacks } from "./server_pushbacks.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { StartHold } from "./start_hold.ts";

const LOOPBACK = "127.0.0.1";
const SERVICE = "service";
const WAIT_MILLISECONDS = 5_000;

const SAVED_RETRIES = 8;

type Event = { name: string; fields: Record<string, unknown> };
type Route = RoutingConfiguration["routes"][number];
type Limits = RoutingConfiguration["callerLimits"];

const ROUTE: Route = {
  name: "safe",
  host: "x",
  pathPrefix: "/safe/",
  kind: "safe",
  timeoutMilliseconds: 4_000,
  targetMilliseconds: 1_000,
  priority: 1,
  targets: [{ service: SERVICE, weight: 1 }],
  maxBackends: 2,
  needsKey: false,
  resumable: false,
};

const ROUTES: Route[] = [
  ROUTE,
  { ...ROUTE, name: "unsafe", pathPrefix: "/unsafe/", kind: "unsafe" },
  { ...ROUTE, name: "stream", pathPrefix: "/stream/", kind: "stream" },
];

const DEFAULT_LIMITS: Limits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};

/** Reads `Id`, `Deadline` and `Not-Run`. */
const PLAIN_FORMAT: RequestFormat = {
  readRequest: (headers) => ({
    id: headers["id"] as string | undefined,
    deadlineMilliseconds: Number(headers["deadline"]) || undefined,
    key: undefined,
    model: undefined,
    promptTokens: 0,
    sharedParts: [],
    maxOutputTokens: 0,
    expectedOutputTokens: undefined,
    resumesAfter: undefined,
  }),
  buildForwardHeaders: (raw) => dropFraming(raw),
  readAnswer: (headers) => ({
    id: undefined,
    instance: undefined,
    isNotRun: headers["not-run"] !== undefined,
    isSigned: true,
    weightsVersion: undefined,
    limitPerSecond: undefined,
    requestedPause: undefined,
    isShuttingDown: false,
    unreadableFields: [],
    load: undefined,
  }),
  filterAnswerHeaders: (raw) => dropFraming(raw, ["content-length"]),
  guaranteesNotRun: (status) => [408, 421, 429, 503].includes(status),
};

function dropFraming(raw: string[], kept: string[] = []): string[] {
  const dropped = ["connection", "content-length", "transfer-encoding"]
    .filter((name) => !kept.includes(name));
  return raw.flatMap((name, index) =>
    index % 2 === 0 && !dropped.includes(name.toLowerCase())
      ? [name, raw[index + 1]!]
      : []
  );
}

type Options = {
  /** Handles each connection to a backend server. */
  backend?: (socket: Socket) => void;
  /** Number of backend servers; one if absent. */
  backends?: number;
  format?: Partial<RequestFormat>;
  limits?: Partial<Limits>;
  /** Overrides these fields of all routes. */
  route?: Partial<Route>;
  dispatch?: Partial<DispatchTerms>;
  /** See `BodyRoom`. */
  maximumHeldBytes?: number;
};

/**
 * A gateway's server with backend servers on loopback, for tests. The
 * configuration has the routes /safe/, /unsafe/ and /stream/ on host x.
 */
export class GatewayFixture {
  readonly events: Event[] = [];
  readonly metrics = new ProcessMetrics();
  readonly server: GatewayServer;
  readonly context: GatewayContext;
  isStopping = false;
  /** Packets that the backend server has received: small requests take one. */
  backendArrivals = 0;
  port = 0;
  #updates$ = new Subject<unknown>();
  #backends: Server[];
  #backendSockets = new Set<Socket>();
  #options: Options;

  static async open(options: Options = {}): Promise<GatewayFixture> {
    const fixture = new GatewayFixture(options);
    await fixture.#start();
    return fixture;
  }

  private constructor(options: Options) {
    this.#options = options;
    this.#backends = Array.from(
      { length: options.backends ?? 1 },
      () =>
        createServer((socket) => {
          this.#backendSockets.add(socket);
          socket.once("close", () => this.#backendSockets.delete(socket));
          socket.on("error", () => undefined);
          socket.on("data", () => this.backendArrivals += 1);
          options.backend?.(socket);
        }),
    );
    this.context = this.#createContext({
      ...PLAIN_FORMAT,
      ...options.format,
    });
    this.server = new GatewayServer(this.context);
  }

  /** Connections that the gateway has to the backend server. */
  get backendConnections(): number {
    return this.#backendSockets.size;
  }

  /** Waits until no request is in flight, nor any connection to the server. */
  async waitUntilIdle(): Promise<void> {
    const until = monotonicMilliseconds() + WAIT_MILLISECONDS;
    while (this.server.inFlight > 0 || this.backendConnections > 0) {
      if (monotonicMilliseconds() > until) throw new Error("it goes on");
      await sleep(10);
    }
  }

  /** Fields of the logged events of this name. */
  fieldsOf(name: string): Record<string, unknown>[] {
    return this.events.filter((event) => event.name === name)
      .map(({ fields }) => fields);
  }

  /** Number of requests that were counted with this outcome. */
  async countRequests(outcome: string): Promise<number> {
    const { values } = await this.metrics.requests.get();
    return values.filter(({ labels }) => labels.outcome === outcome)
      .reduce((sum, { value }) => sum + value, 0);
  }

  /** Puts a configuration in force; `version` must exceed the last one's. */
  configure(
    version: number,
    limits: Partial<Limits> = {},
    routes: Route[] = ROUTES,
  ): void {
    const configuration: RoutingConfiguration = {
      version,
      routes: routes.map((route) => ({ ...route, ...this.#options.route })),
      services: [{ name: SERVICE, maxConnections: 0 }],
      callerLimits: { ...DEFAULT_LIMITS, ...limits },
      workspaces: [],
    };
    const document = Buffer.from(JSON.stringify(configuration));
    this.#sendUpdate({ case: "routing", value: { version, document } });
    this.server.applyLimits();
  }

  /** Tells the gateway which data centres are evacuated as of a log index. */
  evacuate(index: number, dataCentres: string[]): void {
    this.#sendUpdate({ case: "evacuations", value: { index, dataCentres } });
  }

  /** Tells the gateway what a control host may tell. */
  tell(body: ControlUpdate["body"]): void {
    this.#sendUpdate(body);
  }

  close(): void {
    this.server.closeAll();
    this.context.connections.close();
    this.context.crashes.stop();
    for (const socket of this.#backendSockets) socket.destroy();
    for (const backend of this.#backends) backend.close();
    void this.server.stopListening();
  }

  async #start(): Promise<void> {
    const backendPorts = await Promise.all(this.#backends.map(listenOnAnyPort));
    this.port = await findFreePort();
    const listening = await this.server.listen(`${LOOPBACK}:${this.port}`);
    if (listening.isErr) throw new Error(listening.error);
    this.configure(1, this.#options.limits);
    const backends = backendPorts.map((port, index) => ({
      instance: index === 0 ? "one" : `other-${index}`,
      service: SERVICE,
      address: `${LOOPBACK}:${port}`,
      dataCentre: "here",
      slots: 8,
      state: BackendState.READY,
      bornAt: 1,
      sequence: 1,
      coldMilliseconds: 0,
      models: [],
    }));
    const value = { whole: true, backends };
    this.#sendUpdate({ case: "backends", value });
  }

  #sendUpdate(body: object): void {
    this.#updates$.next({ update: { body } });
  }

  #createContext(format: RequestFormat): GatewayContext {
    const log = this.#createLog();
    const isStopping = () => this.isStopping;
    const feed = new ControlFeed({
      followSet: { updates$: this.#updates$ } as unknown as FollowSet,
      decodeRouting: (text) =>
        parseJson(text).map((value) => value as RoutingConfiguration),
      log,
    });
    const connections = new BackendConnections();
    const pushbacks = new ServerPushbacks({
      random: Math.random,
      log,
      evacuated$: feed.evacuated$,
    });
    const crashWatch = new CrashWatch({
      hasOpenConnection: (address) => connections.hasOpen(address),
      isClosed: (announcement) => pushbacks.isClosed(announcement),
      hasDeparted: (announcement) => feed.hasDeparted(announcement),
      listStarts: (address) => feed.listStarts(address),
      backends$: feed.backends$,
      engineStarts$: feed.engineStarts$,
      log,
      metrics: this.metrics,
    });
    const givenUp = new GivenUpWatch({
      ended$: crashWatch.ended$,
      toldEnds$: feed.crashes$.pipe(map(decodeToldEnds)),
      backends$: feed.backends$,
      engineStarts$: feed.engineStarts$,
      hasDeparted: (announcement) => feed.hasDeparted(announcement),
      log,
      metrics: this.metrics,
    });
    const namedLimits = new NamedLimits({
      host: "gateway",
      backends$: feed.backends$,
      updates$: feed.limits$,
      publish: () => undefined,
      random: Math.random,
      log,
    });
    const dispatch = {
      ...createDefaultTerms(),
      places: new EvacuationRule(feed.evacuations),
      ...this.#options.dispatch,
    };
    return {
      feed,
      startHold: new StartHold({
        configuredAt: () => feed.configuredAt,
        isStopping,
      }),
      dispatch,
      pool: new BackendPool({
        dispatch,
        feed,
        host: "gateway",
        dataCentre: "here",
        weightsBoundMilliseconds: 8_000,
        namedLimits,
        listening: { since: -Infinity },
        pushbacks,
        endedServers$: crashWatch.ended$.pipe(
          map(({ announcement }) => announcement),
        ),
      }),
      connections,
      intake: createTestIntake(this.#options.maximumHeldBytes),
      namedLimits,
      pushbacks,
      retries: createSavedRetries({
        retries: SAVED_RETRIES,
        ratio: 0.2,
        now: monotonicMilliseconds(),
      }),
      patience: new PatienceEstimator(),
      silence: new SilenceWatch(new ListeningTime()),
      crashWatch,
      givenUp,
      crashes: new CrashReporter({
        host: "gateway",
        isConnected: () => true,
        ended$: merge(crashWatch.ended$, givenUp.ended$),
        updates$: feed.crashes$,
        publish: () => undefined,
        log,
      }),
      format,
      log,
      metrics: this.metrics,
      random: Math.random,
      isStopping,
    };
  }

  #createLog(): EventLog {
    const record = (name: string, fields: Record<string, unknown> = {}) =>
      void this.events.push({ name, fields });
    const log = { debug: record, info: record, warn: record, error: record };
    return log as unknown as EventLog;
  }
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listenOnAnyPort(server);
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

function listenOnAnyPort(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, LOOPBACK, () => {
      resolve((server.address() as { port: number }).port);
    });
  });
}
