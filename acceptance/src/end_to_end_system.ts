import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import { configurationOf } from "./configuration_of.ts";
import { StandInPlatform } from "./stand_in_platform.ts";
import { StandInServer } from "./stand_in_server.ts";
import { StandInStore } from "./stand_in_store.ts";

const MODEL = "model-1";
const START_MILLISECONDS = 20_000;
const HEARTBEAT_MILLISECONDS = 200;
const OPERATION_MILLISECONDS = 1_000;
const ENGINES = 2;
/** Numbers of hosts: control, gateways, and those beside engines. */
const FIRST_GATEWAY = 10;
const FIRST_ENGINE = 40;

type Options = { engines?: number; gateways?: number; controlHosts?: number };

/** The whole path on loopback: every program, and what surrounds them. */
export class WholePath {
  readonly platform = new StandInPlatform();
  readonly store = new StandInStore();
  readonly engines: StandInServer[] = [];
  readonly plain: StandInServer;
  /** Addresses of the gateways; most tests know the first alone. */
  readonly gatewayIps: string[] = [];
  #gateways: number;
  #controlHosts: number;
  #storeAddress = "";
  #timer: NodeJS.Timeout | undefined;
  #leaving = new Set<StandInServer>();

  constructor(
    { engines = ENGINES, gateways = 1, controlHosts = 1 }: Options = {},
  ) {
    const { store } = this;
    this.#gateways = gateways;
    this.#controlHosts = controlHosts;
    for (let index = 0; index < engines; index += 1) {
      const instance = `engine-${index}`;
      this.engines.push(new StandInServer({ instance, store, model: MODEL }));
    }
    this.plain = new StandInServer({ instance: "plain-0", store, model: "" });
  }

  get gatewayIp(): string {
    return this.gatewayIps[0]!;
  }

  /** Starts all of it; serves once this resolves. */
  async start(): Promise<void> {
    const { platform } = this;
    await platform.prepare(this.#controlHosts);
    this.#storeAddress = await this.store.listen("127.0.0.1");
    await this.plain.listen("127.0.0.1");
    for (let index = 0; index < this.#controlHosts; index += 1) {
      platform.start("control", index);
    }
    for (const [index, engine] of this.engines.entries()) {
      await engine.listen("127.0.0.1");
      const extra = { app: engine.address, service: "writer" };
      platform.start("stager", FIRST_ENGINE + index, extra);
    }
    for (let index = 0; index < this.#gateways; index += 1) {
      const host = platform.start("gateway", FIRST_GATEWAY + index);
      this.gatewayIps.push(host.ip);
    }
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MILLISECONDS);
    await this.#until(() => this.configure(1), "configured");
    for (const ip of this.gatewayIps) {
      await this.#until(() => this.isReady(ip), "ready");
    }
    await this.#until(
      () => this.engines.every(({ version }) => version === 1),
      "weights loaded",
    );
    await this.#until(
      async () => (await this.write("warm")).status === 200,
      "serving",
    );
  }

  /** Ends control and gateways at one moment, and starts them again. */
  async restartAll(): Promise<void> {
    const { platform } = this;
    await platform.restart([...this.controlNames, ...this.gatewayNames]);
    for (const ip of this.gatewayIps) {
      await this.#until(() => this.isReady(ip), "ready");
    }
  }

  get controlNames(): string[] {
    return Array.from(
      { length: this.#controlHosts },
      (_, index) => `control-${index}`,
    );
  }

  get gatewayNames(): string[] {
    return this.gatewayIps.map((_, index) =>
      `gateway-${FIRST_GATEWAY + index}`
    );
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.platform.stop();
    for (const server of [...this.engines, this.plain, this.store]) {
      server.close();
    }
  }

  async configure(
    version: number,
    keys?: string[],
    maxHeaderBytes?: number,
  ): Promise<boolean> {
    const configuration = configurationOf({
      version,
      store: this.#storeAddress,
      model: MODEL,
      chunks: this.store.chunks,
      ...(keys && { keys }),
      ...(maxHeaderBytes !== undefined && { maxHeaderBytes }),
    });
    const answer = await this.operate("PUT", "/config", configuration);
    return answer.status === 200;
  }

  nameWeights(version: number): Promise<{ status: number; text: string }> {
    return this.operate("POST", "/version-put", { model: MODEL, version });
  }

  async operate(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; text: string }> {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    let answer = { status: 0, text: "" };
    for (const base of this.platform.operations) {
      answer = await this.#operateAt(`${base}${path}`, method, text);
      if (answer.status !== 0 && answer.status !== 503) return answer;
    }
    return answer;
  }

  async #operateAt(
    url: string,
    method: string,
    text: string | undefined,
  ): Promise<{ status: number; text: string }> {
    try {
      const answer = await fetch(url, {
        method,
        ...(text !== undefined && { body: text }),
        signal: AbortSignal.timeout(OPERATION_MILLISECONDS),
      });
      return { status: answer.status, text: await answer.text() };
    } catch (error) {
      return { status: 0, text: String(error) };
    }
  }

  async isReady(ip = this.gatewayIp): Promise<boolean> {
    try {
      const answer = await fetch(this.platform.readyOf(ip));
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /** Sends a request as a client of the platform does. */
  async ask(
    path: string,
    options: {
      id: string;
      method?: string;
      key?: string;
      host?: string;
      headers?: Record<string, string>;
      body?: string;
      /** Address of the gateway to ask. */
      gateway?: string;
    },
  ): Promise<{ status: number; text: string; headers: Headers }> {
    const { id, method = "GET", key = "key-1", body } = options;
    const { request } = await import("node:http");
    const { gateway = this.gatewayIp } = options;
    const url = new URL(this.platform.frontOf(gateway) + path);
    return await new Promise((resolve, reject) => {
      const sent = request(url, {
        method,
        headers: {
          Host: options.host ?? "desk.example",
          "Attempt-Id": id,
          "Deadline-Ms": "2000",
          Authorization: `Bearer ${key}`,
          ...options.headers,
        },
      }, async (message) => {
        let text = "";
        try {
          for await (const part of message) text += part;
        } catch (error) {
          return reject(error);
        }
        const headers = new Headers(message.headers as Record<string, string>);
        resolve({ status: message.statusCode ?? 0, text, headers });
      });
      sent.on("error", reject);
      sent.end(body);
    });
  }

  write(id: string, headers: Record<string, string> = {}) {
    return this.ask("/write/x", {
      id,
      method: "POST",
      body: "prompt",
      headers: { Model: MODEL, "Token-Usage": "100,8", ...headers },
    });
  }

  /** The server says that it leaves, and goes on answering. */
  leave(server: StandInServer): void {
    this.#leaving.add(server);
  }

  #beat(): void {
    const all = [
      ...this.engines.map((server) => [server, "writer"] as const),
      [this.plain, "plain"] as const,
    ];
    for (const [server, service] of all) {
      if (server.isDown) continue;
      const state = this.#leaving.has(server) ? "draining" : "ready";
      const { instance } = server;
      this.operate(
        "PUT",
        `/instances/${instance}`,
        server.heartbeat(service, state),
      );
    }
  }

  async #until(
    check: () => Promise<boolean> | boolean,
    what: string,
  ): Promise<void> {
    if (await waitUntil(check, START_MILLISECONDS)) return;
    throw new Error(`not ${what} in time; logs in ${this.platform.folder}`);
  }
}
