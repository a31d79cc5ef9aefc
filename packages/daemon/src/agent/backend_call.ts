import type { RunRequest } from "@teaselrouter/messages/agent.ts";
import { Agent, type IncomingMessage, request as send } from "node:http";
import type { Buffer } from "node:buffer";
import { splitAddress } from "../transport/split_address.ts";
import type { AgentState } from "./agent_state.ts";
import type { Exchange } from "./exchange.ts";

const connections = new Agent({ keepAlive: false });

type CallEnd =
  | { kind: "answered" }
  /** The backend server surely did not see the call. */
  | { kind: "not-run"; reason: string }
  | { kind: "failed"; ran: boolean; reason: string };

/** One call to the backend server on this host. */
export class BackendCall {
  #state: AgentState;
  #request: RunRequest;
  #exchange: Exchange;
  #epoch: number;
  #version: string;

  constructor(state: AgentState, request: RunRequest, exchange: Exchange) {
    this.#state = state;
    this.#request = request;
    this.#exchange = exchange;
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
        } else if (this.#moved()) {
          resolve({ kind: "failed", ran: true, reason: "version-moved" });
        } else {
          this.#exchange.end();
          resolve({ kind: "answered" });
        }
      });
    });
  }

  /** A load was begun under the answer: its end may be of other weights. */
  #moved(): boolean {
    return this.#state.backend!.uses_weights &&
      this.#state.epoch !== this.#epoch;
  }
}
