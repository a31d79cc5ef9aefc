import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import {
  buildConfiguration,
  type ConfigurationChange,
} from "./build_configuration.ts";
import { LoopbackCluster } from "./loopback_cluster.ts";
import type { PlatformBounds } from "./platform_bounds.ts";
import type { EndingTerms } from "./endings/ending_terms.ts";
import { FakeBackendServer } from "./fake_backend_server.ts";
import { FakeWeightStore } from "./fake_weight_store.ts";

const MODEL = "model-1";
const START_TIMEOUT_MILLISECONDS = 20_000;
const HEARTBEAT_INTERVAL_MILLISECONDS = 200;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** From when gateways know how many they are; a retry takes about a second. */
const SAVING_MILLISECONDS = 4_000;
const COUNTED = /event=gateways-counted gateways=\d/;
const DEFAULT_ENGINES = 2;
const DEFAULT_ROUTE_TIMEOUT_MILLISECONDS = 2_000;
/** First host indexes of gateways and of stagers; control hosts start at 0. */
const FIRST_GATEWAY_INDEX = 10;
const FIRST_STAGER_INDEX = 40;

type Options = {
  engines?: number;
  plainServers?: number;
  gateways?: number;
  controlHosts?: number;
  /** Requests that each engine runs at the same time. */
  slots?: number;
  /** Of all routes, and of requests that are sent without a deadline. */
  routeTimeoutMilliseconds?: number;
  /** Backend servers that one request may be sent to. */
  maxAttempts?: number;
  /** Further settings fields of the gateways. */
  gatewayFields?: Record<string, unknown>;
  /** Overrides the usual bounds of the platform's rules. */
  bounds?: Partial<PlatformBounds>;
  /** How the hosts are laid out, other than usual. */
  shape?: ConstructorParameters<typeof LoopbackCluster>[1];
} & EndingTerms;

/**
 * A complete system on loopback: all daemon processes, with fake backend servers
 * and a fake weight store.
 */
export class EndToEndSystem {
  readonly cluster: LoopbackCluster;
  readonly store = new FakeWeightStore();
  readonly engines: FakeBackendServer[] = [];
  /** The backend servers without an engine, which serve plain requests. */
  readonly plainServers: FakeBackendServer[] = [];
  /** IP addresses of the gateways; most tests use only the first. */
  readonly gatewayIps: string[] = [];
  #gatewayCount: number;
  #controlHostCount: number;
  #routeTimeoutMilliseconds: number;
  #maxAttempts: number | undefined;
  #slots: number | undefined;
  #gatewayFields: Record<string, unknown>;
  #heartbeatMilliseconds: number;
  #storeAddress = "";
  #heartbeatTimer: NodeJS.Timeout | undefined;
  #leavingServers = new Set<FakeBackendServer>();
  #mutedServers = new Set<FakeBackendServer>();

  constructor(
    {
      engines = DEFAULT_ENGINES,
      plainServers = 1,
      gateways = 1,
      controlHosts = 1,
      slots,
      routeTimeoutMilliseconds = DEFAULT_ROUTE_TIMEOUT_MILLISECONDS,
      maxAttempts,
      gatewayFields = {},
      bounds = {},
      shape = {},
      drawEnding,
      heartbeatMilliseconds = HEARTBEAT_INTERVAL_MILLISECONDS,
    }: Options = {},
  ) {
    this.cluster = new LoopbackCluster(bounds, shape);
    const { store } = this;
    this.#maxAttempts = maxAttempts;
    this.#routeTimeoutMilliseconds = routeTimeoutMilliseconds;
    this.#slots = slots;
    this.#gatewayFields = gatewayFields;
    this.#heartbeatMilliseconds = heartbeatMilliseconds;
    this.#gatewayCount = gateways;
    this.#controlHostCount = controlHosts;
    for (let index = 0; index < engines; index += 1) {
      const instance = `engine-${index}`;
      this.engines.push(
        new FakeBackendServer({ instance, store, model: MODEL, slots }),
      );
    }
    for (let index = 0; index < plainServers; index += 1) {
      const instance = `plain-${index}`;
      this.plainServers.push(
        new FakeBackendServer({ instance, store, model: "" }),
      );
    }
    for (const { server } of this.servers) server.drawEnding = drawEnding;
  }

  /** All backend servers, with the services they belong to. */
  get servers(): { server: FakeBackendServer; service: string }[] {
    return [
      ...this.engines.map((server) => ({ server, service: "writer" })),
      ...this.plainServers.map((server) => ({ server, service: "plain" })),
    ];
  }

  /** The first of the backend servers without an engine. */
  get plainServer(): FakeBackendServer {
    return this.plainServers[0]!;
  }

  get gatewayIp(): string {
    return this.gatewayIps[0]!;
  }

  /** Starts all processes. When this resolves, the system serves requests. */
  async start(): Promise<void> {
    const { cluster } = this;
    await cluster.allocateAddresses(this.#controlHostCount);
    this.#storeAddress = await this.store.listen("127.0.0.1");
    for (const server of this.plainServers) await server.listen("127.0.0.1");
    for (let index = 0; index < this.#controlHostCount; index += 1) {
      cluster.start("control", index);
    }
    for (const [index, engine] of this.engines.entries()) {
      await engine.listen("127.0.0.1");
      const extra = { app: engine.address, service: "writer" };
      cluster.start("stager", FIRST_STAGER_INDEX + index, extra);
    }
    for (let index = 0; index < this.#gatewayCount; index += 1) {
      const host = cluster.start(
        "gateway",
        FIRST_GATEWAY_INDEX + index,
        this.#gatewayFields,
      );
      this.gatewayIps.push(host.ip);
    }
    this.#heartbeatTimer = setInterval(
      () => this.#sendHeartbeats(),
      this.#heartbeatMilliseconds,
    );
    await this.#waitFor(() => this.configure(1), "configured");
    for (const ip of this.gatewayIps) {
      await this.#waitFor(() => this.isReady(ip), "ready");
    }
    await this.#waitFor(
      () => this.engines.every(({ version }) => version === 1),
      "weights loaded",
    );
    await this.#waitFor(
      async () => {
        const answer = await this.stream("warm").catch(() => undefined);
        return answer?.status === 200;
      },
      "serving",
    );
  }

  /**
   * Waits until the gateways have saved up retries, as they have when the
   * platform's traffic starts, 12 s behind the machines.
   */
  async saveRetries(): Promise<void> {
    const { cluster, gatewayNames } = this;
    await this.#waitFor(
      () =>
        gatewayNames.every((name) =>
          COUNTED.test(cluster.findHost(name).child.output)
        ),
      "counted",
    );
    await new Promise((resolve) => setTimeout(resolve, SAVING_MILLISECONDS));
  }

  /**
   * Kills all control hosts and gateways at once, starts them again and waits
   * until the gateways are ready. Stagers and backend servers keep running.
   */
  async restartAll(): Promise<void> {
    const { cluster } = this;
    await cluster.restart([...this.controlNames, ...this.gatewayNames]);
    for (const ip of this.gatewayIps) {
      await this.#waitFor(() => this.isReady(ip), "ready");
    }
  }

  get controlNames(): string[] {
    return Array.from(
      { length: this.#controlHostCount },
      (_, index) => `control-${index}`,
    );
  }

  get gatewayNames(): string[] {
    return this.gatewayIps.map((_, index) =>
      `gateway-${FIRST_GATEWAY_INDEX + index}`
    );
  }

  async stop(options: { keepLogs?: boolean } = {}): Promise<void> {
    clearInterval(this.#heartbeatTimer);
    await this.cluster.stop(options);
    for (const server of [...this.engines, ...this.plainServers, this.store]) {
      server.close();
    }
  }

  /** Sends a configuration; returns whether a control host accepted it. */
  async configure(
    version: number,
    change: ConfigurationChange = {},
  ): Promise<boolean> {
    const document = this.buildDocument(version, change);
    const answer = await this.callControlHost("PUT", "/config", document);
    return answer.status === 200;
  }

  /** A configuration as an operator sends it. */
  buildDocument(version: number, change: ConfigurationChange): string {
    return JSON.stringify(buildConfiguration({
      version,
      store: this.#storeAddress,
      model: MODEL,
      chunks: this.store.chunks,
      routeTimeoutMilliseconds: this.#routeTimeoutMilliseconds,
      ...(this.#maxAttempts !== undefined &&
        { maxAttempts: this.#maxAttempts }),
      ...(this.#slots !== undefined && { slots: this.#slots }),
      ...change,
    }));
  }

  /** Tells the control hosts which version of the weights engines must load. */
  nameWeights(version: number): Promise<{ status: number; text: string }> {
    return this.callControlHost("POST", "/version-put", {
      model: MODEL,
      version,
    });
  }

  /** Calls the control hosts in turn until one neither fails nor answers 503. */
  async callControlHost(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; text: string }> {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    let answer = { status: 0, text: "" };
    for (const base of this.cluster.controlUrls) {
      answer = await this.#callUrl(`${base}${path}`, method, text);
      if (answer.status !== 0 && answer.status !== 503) return answer;
    }
    return answer;
  }

  async #callUrl(
    url: string,
    method: string,
    text: string | undefined,
  ): Promise<{ status: number; text: string }> {
    try {
      const answer = await fetch(url, {
        method,
        ...(text !== undefined && { body: text }),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
      });
      return { status: answer.status, text: await answer.text() };
    } catch (error) {
      return { status: 0, text: String(error) };
    }
  }

  async isReady(ip = this.gatewayIp): Promise<boolean> {
    try {
      const answer = await fetch(this.cluster.readinessUrl(ip));
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /**
   * Sends a request to a gateway as a client of the platform does. Rejects if the
   * response breaks off.
   */
  async sendRequest(
    path: string,
    options: {
      id: string;
      method?: string;
      key?: string;
      host?: string;
      headers?: Record<string, string>;
      body?: string;
      /** IP address of the gateway; defaults to the first. */
      gateway?: string;
      /** When the client closes its connection; by default it waits. */
      leavesAfterMilliseconds?: number | undefined;
    },
  ): Promise<{ status: number; text: string; headers: Headers }> {
    const { id, method = "GET", key = "key-1", body } = options;
    const { request } = await import("node:http");
    const { gateway = this.gatewayIp } = options;
    const url = new URL(this.cluster.frontendUrl(gateway) + path);
    return await new Promise((resolve, reject) => {
      const outgoing = request(url, {
        method,
        headers: {
          Host: options.host ?? "desk.example",
          "Attempt-Id": id,
          "Deadline-Ms": String(this.#routeTimeoutMilliseconds),
          Authorization: `Bearer ${key}`,
          ...options.headers,
        },
      }, async (response) => {
        let text = "";
        try {
          for await (const part of response) text += part;
        } catch (error) {
          return reject(error);
        }
        const headers = new Headers(response.headers as Record<string, string>);
        resolve({ status: response.statusCode ?? 0, text, headers });
      });
      outgoing.on("error", reject);
      outgoing.end(body);
      const { leavesAfterMilliseconds } = options;
      if (leavesAfterMilliseconds === undefined) return;
      setTimeout(() => outgoing.destroy(), leavesAfterMilliseconds);
    });
  }

  /** Sends a request whose response is a stream of events. */
  stream(id: string, headers: Record<string, string> = {}) {
    return this.sendRequest("/write/x", {
      id,
      method: "POST",
      body: "prompt",
      headers: { Model: MODEL, "Token-Usage": "100,8", ...headers },
    });
  }

  /** The server announces from now on that it is leaving, but still serves. */
  announceLeaving(server: FakeBackendServer): void {
    this.#leavingServers.add(server);
  }

  /** The server announces nothing any more, but still serves. */
  stopHeartbeats(server: FakeBackendServer): void {
    this.#mutedServers.add(server);
  }

  #sendHeartbeats(): void {
    for (const { server, service } of this.servers) {
      if (server.isDown || server.isSilent) continue;
      if (this.#mutedServers.has(server)) continue;
      const state = this.#leavingServers.has(server) ? "draining" : "ready";
      const { instance } = server;
      this.callControlHost(
        "PUT",
        `/instances/${instance}`,
        server.heartbeat(service, state),
      );
    }
  }

  async #waitFor(
    check: () => Promise<boolean> | boolean,
    goal: string,
  ): Promise<void> {
    if (await waitUntil(check, START_TIMEOUT_MILLISECONDS)) return;
    throw new Error(`not ${goal} in time; logs in ${this.cluster.folder}`);
  }
}
