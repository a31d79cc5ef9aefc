import type { RunRequest } from "@teaselrouter/messages/agent.ts";
import { Agent, type IncomingMessage, request as send } from "node:http";
import type { Buffer } from "node:buffer";
import { splitAddress } from "../transport/split_address.ts";
import type { AgentLimit } from "./agent_limit.ts";
import type { AgentState } from "./agent_state.ts";
import type { EngineClient } from "./engine_client.ts";
import type { Exchange } from "./exchange.ts";

const connections = new Agent({ keepAlive: false });

type CallEnd =
  | { kind: "answered" }
  /** The backend server surely did not see the call. */
  | { kind: "not-run"; reason: string }
  | { kind: "failed"; ran: boolean; reason: string };

/** Requests a second that a backend server in need takes, with its answers. */
const LIMIT_HEADER = "teaselrouter-limit";

type Options = {
  state: AgentState;
  limit: AgentLimit;
  engine: EngineClient;
  request: RunRequest;
  exchange: Exchange;
};

/** One call to the backend server on this host. */
export class BackendCall {
  #state: AgentState;
  #limit: AgentLimit;
  #engine: EngineClient;
  #request: RunRequest;
  #exchange: Exchange;
  #epoch: number;
  #version: string;

  constructor(options: Options) {
    const { state } = options;
    this.#state = state;
    this.#limit = options.limit;
    this.#engine = options.engine;
    this.#request = options.request;
    this.#exchange = options.exchange;
    this.#epoch = state.epoch;
    this.#version = state.servingVersion;
  }

  run(): Promise<CallEnd> {
    const { backend } = this.#state;
    const { body, path, contentType, requestId } = this.#request;
    return new Promise((resolve) => {
      let sent = false;
      const call = send({
        ...splitAddress(backend!.address),
        method: "POST",
        path,
        agent: connections,
        signal: this.#exchange.cancelled.signal,
        headers: {
          "Content-Type": contentType || "application/octet-stream",
          "Content-Length": body.length,
          "Request-Id": requestId,
          "Teaselrouter-Workspace": this.#request.workspace,
        },
      });
      call.once("socket", (socket) => {
        socket.once("connect", () => {
          sent = true;
        });
      });
      call.once("error", (error) => {
        const reason = (error as { code?: string }).code ?? error.message;
        resolve(
          sent
            ? { kind: "failed", ran: false, reason }
            : { kind: "not-run", reason },
        );
      });
      call.once("response", (response) => resolve(this.#take(response)));
      call.end(body);
    });
  }

  #take(response: IncomingMessage): Promise<CallEnd> {
    this.#limit.hear(limitIn(response.headers[LIMIT_HEADER]));
    const version = String(response.headers["engine-version"] ?? "");
    // The engine obeyed an order that this agent did not give, as one that
    // ignores fencing tokens may: its answer is of weights nobody vouches for.
    if (this.#state.backend!.uses_weights && version !== this.#version) {
      response.destroy();
      return Promise.resolve({
        kind: "failed",
        ran: true,
        reason: "version-moved",
      });
    }
    this.#exchange.begin({
      status: response.statusCode ?? 0,
      contentType: response.headers["content-type"] ??
        "application/octet-stream",
      version,
    });
    return this.#readAnswer(response);
  }

  #readAnswer(response: IncomingMessage): Promise<CallEnd> {
    return new Promise((resolve) => {
      response.on("data", (bytes: Buffer) => this.#exchange.append(bytes));
      response.once("error", (error) => {
        resolve({ kind: "failed", ran: true, reason: error.message });
      });
      response.once("close", () => {
        if (!response.complete) {
          resolve({ kind: "failed", ran: true, reason: "answer-cut-short" });
        } else resolve(this.#finish());
      });
    });
  }

  /** The end is given out only when no load was begun under the answer. */
  async #finish(): Promise<CallEnd> {
    if (await this.#moved()) {
      return { kind: "failed", ran: true, reason: "version-moved" };
    }
    this.#exchange.end();
    return { kind: "answered" };
  }

  /**
   * An engine that ignores fencing tokens may have obeyed a late order in
   * the middle of the answer, unknown to this agent: it is asked once more.
   */
  async #moved(): Promise<boolean> {
    const { uses_weights, checks_fencing } = this.#state.backend!;
    if (!uses_weights) return false;
    if (this.#state.epoch !== this.#epoch) return true;
    if (checks_fencing) return false;
    const read = await this.#engine.state();
    return read.isErr || read.value.loading ||
      read.value.version !== this.#version;
  }
}

function limitIn(header: string | string[] | undefined): number | undefined {
  const text = typeof header === "string" ? header.trim() : "";
  const perSecond = Number(text);
  const isSound = text !== "" && Number.isFinite(perSecond) && perSecond >= 0;
  return isSound ? perSecond : undefined;
}
