import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import type { ConfigurationChange } from "./build_configuration.ts";
import { EndToEndSystem } from "./end_to_end_system.ts";
import { FakeBackendServer } from "./fake_backend_server.ts";
import { KeptConnection } from "./kept_connection.ts";
import { STREAM_EVENTS } from "./requests_under_way.ts";

const TIMEOUT_MILLISECONDS = 10_000;
const HEARTBEAT_INTERVAL_MILLISECONDS = 200;
/** Gateways check the times of connections twice a second. */
const CONNECTIONS_CHECKED_MILLISECONDS = 550;

/** Long enough for requests to last over a change. */
const USUAL: ConfigurationChange = {
  limits: { headerTimeoutMs: 4_000 },
  routes: {
    look: { timeoutMs: 8_000 },
    pay: { timeoutMs: 8_000 },
    write: { timeoutMs: 8_000 },
  },
  services: {
    other: {
      healthPath: "/healthz",
      protocol: "h1",
      tls: false,
      maxConnections: 50,
    },
  },
};

/** A system whose configuration tests change while it serves requests. */
export class ChangingSystem extends EndToEndSystem {
  /** The backend server of a service that no route leads to at first. */
  readonly otherServer = new FakeBackendServer({
    instance: "other-0",
    store: this.store,
    model: "",
  });
  #version = 1;
  #otherHeartbeats: NodeJS.Timeout | undefined;

  /** Version of the latest configuration that was sent. */
  get version(): number {
    return this.#version;
  }

  override async start(): Promise<void> {
    await super.start();
    const { otherServer } = this;
    await otherServer.listen("127.0.0.1");
    this.#otherHeartbeats = setInterval(
      () =>
        this.callControlHost(
          "PUT",
          "/instances/other-0",
          otherServer.heartbeat("other", "ready"),
        ),
      HEARTBEAT_INTERVAL_MILLISECONDS,
    );
    for (const engine of this.engines) engine.keepsName = true;
  }

  override async stop(options: { keepLogs?: boolean } = {}): Promise<void> {
    clearInterval(this.#otherHeartbeats);
    this.otherServer.close();
    await super.stop(options);
  }

  /** Takes the next version without sending it. */
  skipVersion(): number {
    this.#version += 1;
    return this.#version;
  }

  /** Sends a configuration and waits until the gateway obeys it. */
  async change(change: ConfigurationChange): Promise<void> {
    this.#version += 1;
    const merged = merge(USUAL, change);
    const isAccepted = () => this.configure(this.#version, merged);
    assert.ok(await waitUntil(isAccepted, TIMEOUT_MILLISECONDS));
    const { child } = this.cluster.findHost(this.gatewayNames[0]!);
    const line = `event=routing-in-force version=${this.#version} `;
    const isInForce = () => child.output.includes(line);
    assert.ok(await waitUntil(isInForce, TIMEOUT_MILLISECONDS));
  }

  /** Waits until connections have been checked by the limits in force. */
  waitForChecks(): Promise<void> {
    return sleep(CONNECTIONS_CHECKED_MILLISECONDS);
  }

  openConnection(): Promise<KeptConnection> {
    return KeptConnection.open(this.cluster.frontendUrl(this.gatewayIp));
  }

  setEvents({ count = STREAM_EVENTS, interval = 100 } = {}): void {
    for (const engine of this.engines) {
      engine.streamEvents = count;
      engine.eventIntervalMilliseconds = interval;
    }
  }
}

function merge(
  usual: ConfigurationChange,
  change: ConfigurationChange,
): ConfigurationChange {
  const routes = { ...usual.routes };
  for (const [name, fields] of Object.entries(change.routes ?? {})) {
    routes[name] = fields && { ...routes[name], ...fields };
  }
  return {
    ...change,
    routes,
    limits: { ...usual.limits, ...change.limits },
    services: { ...usual.services, ...change.services },
  };
}
