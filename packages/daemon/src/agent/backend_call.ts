import type { AnswerMemory } from "@teaselrouter/core/answers/answer_memory.ts";
import type { RunRequest } from "@teaselrouter/messages/agent.ts";
import { Agent, type IncomingMessage, request as send } from "node:http";
import type { Buffer } from "node:buffer";
import { splitAddress } from "../transport/split_address.ts";
import { AnswerWatch } from "../http/answer_watch.ts";
import { discardRest } from "../http/discard_rest.ts";
import { limitInterimAnswers } from "../http/limit_interim_answers.ts";
import type { BackendRateLimiter } from "./backend_rate_limiter.ts";
import type { AgentState } from "./agent_state.ts";
import type { EngineClient } from "./engine_client.ts";
import { STATE_UNREADABLE } from "./state_unreadable.ts";
import type { Exchange } from "./exchange.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { probeProcessEnd } from "../transport/probe_process_end.ts";
import { sleep } from "../transport/sleep.ts";

const connections = new Agent({ keepAlive: false });
const ASK_AGAIN_DELAY_MILLISECONDS = 50;

type BackendCallResult =
  | { kind: "answered" }
  /** No connection was made: the backend server surely did not see the call. */
  | { kind: "not-run"; reason: string }
  /** The backend server refused the call, which has not run. */
  | { kind: "rejected" }
  /** Without `isKnownToHaveRun`, the call may or may not have run. */
  | { kind: "failed"; isKnownToHaveRun: boolean; reason: string };

/**
 * Response header in which an overloaded backend server names the requests per
 * second that it accepts.
 */
const LIMIT_HEADER = "teaselrouter-limit";

type Options = {
  state: AgentState;
  limit: BackendRateLimiter;
  engine: EngineClient;
  request: RunRequest;
  exchange: Exchange;
  /** For the answers of all calls, which are kept whole until they are read. */
  memory: AnswerMemory;
};

/** One call to the backend server on this host. */
export class BackendCall {
  #state: AgentState;
  #limit: BackendRateLimiter;
  #engine: EngineClient;
  #request: RunRequest;
  #exchange: Exchange;
  #memory: AnswerMemory;
  #weightsEpoch: number;
  #version: string;
  /** Monotonic milliseconds. */
  #deadlineAt: number;
  #settleSend: (isAnswered: boolean) => void;

  constructor(options: Options) {
    const { state } = options;
    this.#state = state;
    this.#limit = options.limit;
    this.#engine = options.engine;
    this.#request = options.request;
    this.#exchange = options.exchange;
    this.#memory = options.memory;
    this.#weightsEpoch = state.weightsEpoch;
    this.#version = state.servingVersion;
    this.#deadlineAt = monotonicMilliseconds() +
      options.request.deadlineMilliseconds;
    const settle = state.pushback.countSend(state.backend!.slots);
    let isSettled = false;
    this.#settleSend = (isAnswered) => {
      if (!isSettled) settle(isAnswered);
      isSettled = true;
    };
  }

  async run(): Promise<BackendCallResult> {
    const result = await this.#send();
    this.#settleSend(false);
    return result;
  }

  #send(): Promise<BackendCallResult> {
    const { backend } = this.#state;
    const { body, path, contentType, requestId } = this.#request;
    return new Promise((resolve) => {
      let isConnected = false;
      const call = send({
        ...splitAddress(backend!.address),
        method: "POST",
        path,
        agent: connections,
        signal: this.#exchange.canceller.signal,
        headers: {
          "Content-Type": contentType || "application/octet-stream",
          "Content-Length": body.length,
          "Request-Id": requestId,
          "Teaselrouter-Workspace": this.#request.workspace,
        },
      });
      const answer = new AnswerWatch();
      answer.watch(call);
      call.once("socket", (socket) => {
        socket.once("connect", () => {
          isConnected = true;
        });
      });
      call.once("error", (error) => {
        const reason = (error as { code?: string }).code ?? error.message;
        resolve(
          isConnected
            ? { kind: "failed", isKnownToHaveRun: false, reason }
            : { kind: "not-run", reason },
        );
      });
      call.once("response", (response) => {
        answer.follow(response);
        resolve(this.#handleResponse(response, answer));
      });
      // Last of all: an answer that switches protocols is told by nothing else.
      call.once("close", () =>
        resolve({
          kind: "failed",
          isKnownToHaveRun: false,
          reason: "no-http-answer",
        }));
      limitInterimAnswers(call, (reason) => call.destroy(new Error(reason)));
      call.end(body);
    });
  }

  #handleResponse(
    response: IncomingMessage,
    answer: AnswerWatch,
  ): Promise<BackendCallResult> {
    this.#limit.setLimit(parseLimit(response.headers[LIMIT_HEADER]));
    const { statusCode: status = 0, rawHeaders } = response;
    if (this.#state.pushback.recordAnswer({ status, rawHeaders })) {
      discardRest(response);
      return Promise.resolve({ kind: "rejected" });
    }
    this.#settleSend(true);
    const version = String(response.headers["engine-version"] ?? "");
    // The engine obeyed a load order that this agent did not give, as an engine
    // that ignores fencing tokens may. Nothing vouches for the weights that the
    // answer comes from.
    if (this.#state.backend!.uses_weights && version !== this.#version) {
      response.destroy();
      return Promise.resolve({
        kind: "failed",
        isKnownToHaveRun: true,
        reason: "version-moved",
      });
    }
    this.#exchange.begin({
      status: response.statusCode ?? 0,
      contentType: response.headers["content-type"] ??
        "application/octet-stream",
      version,
    });
    return this.#readAnswer(response, answer);
  }

  #readAnswer(
    response: IncomingMessage,
    answer: AnswerWatch,
  ): Promise<BackendCallResult> {
    return new Promise((resolve) => {
      let isTooLarge = false;
      const kept = this.#memory.open();
      response.on("data", (bytes: Buffer) => {
        this.#exchange.append(bytes);
        if (this.#memory.tryGrow(kept, bytes.length)) return;
        isTooLarge = true;
        answer.giveUp();
        response.destroy();
      });
      response.on("error", () => undefined);
      response.once("close", () => {
        this.#memory.release(kept);
        const { end } = answer;
        if (end === "whole") return resolve(this.#finish());
        resolve({
          kind: "failed",
          isKnownToHaveRun: true,
          reason: isTooLarge ? "answer-too-large" : `answer-${end}`,
        });
      });
      response.resume();
    });
  }

  /**
   * Passes on the end of the answer, unless the weights may have changed while
   * the engine gave it.
   */
  async #finish(): Promise<BackendCallResult> {
    if (await this.#hasVersionChanged()) {
      return {
        kind: "failed",
        isKnownToHaveRun: true,
        reason: "version-moved",
      };
    }
    this.#exchange.end();
    return { kind: "answered" };
  }

  /**
   * Whether the engine's weights may have changed since the call began. An
   * engine that ignores fencing tokens may have obeyed a delayed load order
   * during the answer without this agent's knowledge, so its state is read
   * again.
   */
  async #hasVersionChanged(): Promise<boolean> {
    const { uses_weights, checks_fencing } = this.#state.backend!;
    if (!uses_weights) return false;
    if (this.#state.weightsEpoch !== this.#weightsEpoch) return true;
    if (checks_fencing) return false;
    const engineState = await this.#readEngineState();
    return this.#state.weightsEpoch !== this.#weightsEpoch ||
      engineState === undefined || engineState.loading ||
      engineState.version !== this.#version;
  }

  /**
   * Asks a silent engine again until the call's deadline: the answer is whole,
   * and only this is missing. Undefined if the state can't be learned.
   */
  async #readEngineState() {
    const { signal } = this.#exchange.canceller;
    while (true) {
      const read = await this.#engine.readState();
      if (read.isOk) return read.value;
      const mayAskAgain = read.error !== STATE_UNREADABLE && !signal.aborted &&
        monotonicMilliseconds() < this.#deadlineAt;
      if (!mayAskAgain) return undefined;
      const { address } = this.#state.backend!;
      if (await probeProcessEnd(address) === "ended") return undefined;
      await sleep(ASK_AGAIN_DELAY_MILLISECONDS);
    }
  }
}

/** Undefined if the header is missing or holds no number from 0 up. */
function parseLimit(header: string | string[] | undefined): number | undefined {
  const text = typeof header === "string" ? header.trim() : "";
  const perSecond = Number(text);
  const isValid = text !== "" && Number.isFinite(perSecond) && perSecond >= 0;
  return isValid ? perSecond : undefined;
}
