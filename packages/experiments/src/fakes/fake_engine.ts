import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { createHash } from "node:crypto";
import {
  createServer,
  get,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { Announcer } from "./announcer.ts";
import { computeExpectedAnswer } from "./expected_answer.ts";
import { frameByConnection } from "./frame_by_connection.ts";
import { readAll } from "./read_all.ts";

type Options = {
  address: string;
  agentAddress: string;
  service: string;
  checksFencing: boolean;
  slots: number;
  /** Pause after each line of an answer. */
  lineIntervalMilliseconds: number;
  /** From the last byte of weights until they are loaded. */
  loadMilliseconds: number;
};

type LoadOrder = { version: string; source: string; fencing_token: number };

/**
 * A fake model engine whose answers contain the digest of the weights that it
 * holds. During a load this is the digest of the part received so far.
 */
export class FakeEngine {
  /** Reports a load as done, with the new version, before it is. */
  reportsLoadedEarly = false;
  /** Sends the first line of each answer and never ends the answer. */
  stallsAnswers = false;
  /** Whether answers to calls end with their connection. */
  framesByConnection = false;
  /** Resets the next answer behind its first line. */
  resetsNextAnswer = false;
  /** For how long the engine falls silent at the end of its next answer. */
  silenceAfterAnswer = 0;
  /** Makes the next load fail. */
  failsNextLoad = false;
  startedCalls = 0;
  /** Calls whose connection was closed before the answer's end. */
  abandonedCalls = 0;
  #options: Options;
  #announcer: Announcer | undefined;
  #version = "";
  #digest = "";
  #loading = false;
  #fencingToken = 0;
  #silentUntil = 0;
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  constructor(options: Options) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const listening = await listen(this.#server, this.#options.address);
    if (listening.isErr) throw new Error(listening.error);
    this.#announcer = new Announcer(this.#options.agentAddress, {
      service: this.#options.service,
      address: this.#options.address,
      checks_fencing: this.#options.checksFencing,
      repeatable: true,
      uses_weights: true,
      slots: this.#options.slots,
    }, () => this.#untilAwake());
  }

  /**
   * Sends nothing for a while and then goes on where it stopped; connections
   * stay open.
   */
  fallSilent(milliseconds: number): void {
    this.#silentUntil = Date.now() + milliseconds;
  }

  stop(): void {
    this.#announcer?.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #untilAwake(): Promise<void> {
    while (Date.now() < this.#silentUntil) {
      await sleep(this.#silentUntil - Date.now());
    }
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readAll(request)).toString("utf8");
    await this.#untilAwake();
    switch (request.url) {
      case "/v1/state":
        return this.#sendState(response);
      case "/v1/load":
        return this.#handleLoadOrder(JSON.parse(body), response);
      case "/v1/probe":
        response.setHeader(
          "Engine-Version",
          this.#loading ? "" : this.#version,
        );
        return void response.end();
      default:
        return await this.#handleCall(body, response);
    }
  }

  #sendState(response: ServerResponse): void {
    response.end(JSON.stringify({
      version: this.#version,
      loading: this.#loading && !this.reportsLoadedEarly,
      fencing_token: this.#fencingToken,
    }));
  }

  #handleLoadOrder(order: LoadOrder, response: ServerResponse): void {
    const { checksFencing } = this.#options;
    if (checksFencing && order.fencing_token < this.#fencingToken) {
      return void response.writeHead(409).end();
    }
    this.#fencingToken = order.fencing_token;
    response.writeHead(202).end();
    this.#load(order);
  }

  async #load(order: LoadOrder): Promise<void> {
    this.#loading = true;
    this.#version = this.reportsLoadedEarly ? order.version : "";
    const hash = createHash("sha256");
    if (this.failsNextLoad) {
      this.failsNextLoad = false;
      this.#loading = false;
      return;
    }
    const isComplete = await new Promise<boolean>((resolve) => {
      const request = get(order.source, async (answer) => {
        try {
          for await (const part of answer) {
            hash.update(part);
            this.#digest = hash.copy().digest("hex");
          }
          resolve(answer.statusCode === 200);
        } catch {
          resolve(false);
        }
      });
      request.on("error", () => resolve(false));
    });
    await sleep(this.#options.loadMilliseconds);
    this.#digest = hash.digest("hex");
    this.#version = isComplete ? order.version : "";
    this.#loading = false;
  }

  async #handleCall(body: string, response: ServerResponse): Promise<void> {
    this.startedCalls += 1;
    if (this.framesByConnection) frameByConnection(response);
    const isReset = this.resetsNextAnswer;
    this.resetsNextAnswer = false;
    response.setHeader("Engine-Version", this.#version);
    response.setHeader("Content-Type", "text/plain");
    const initialDigest = this.#digest;
    const lines = computeExpectedAnswer(initialDigest, body);
    if (this.stallsAnswers) return void response.write(lines[0]);
    for (const [index, line] of lines.entries()) {
      if (response.destroyed) {
        this.abandonedCalls += 1;
        return;
      }
      // Weights that change during an answer change the rest of its lines.
      const isUnchanged = this.#digest === initialDigest;
      response.write(
        isUnchanged ? line : computeExpectedAnswer(this.#digest, body)[index],
      );
      await sleep(this.#options.lineIntervalMilliseconds);
      await this.#untilAwake();
      if (isReset) return void response.socket?.resetAndDestroy();
    }
    response.end();
    if (this.silenceAfterAnswer > 0) this.fallSilent(this.silenceAfterAnswer);
    this.silenceAfterAnswer = 0;
  }
}
