import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { createHash } from "node:crypto";
import {
  createServer,
  get,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { Announcer } from "./announcer.ts";
import { expectedAnswer } from "./expected_answer.ts";
import { readAll } from "./read_all.ts";

type Options = {
  address: string;
  agentAddress: string;
  service: string;
  checksFencing: boolean;
  slots: number;
  /** Between the lines of an answer. */
  lineMilliseconds: number;
};

type LoadOrder = { version: string; source: string; fencing_token: number };

/**
 * A model engine that speaks for the weights it really holds: while a load
 * is under way, its answers are marked with the digest of the part it has.
 */
export class FakeEngine {
  /** Says "loaded" before it is. */
  liesAboutLoading = false;
  /** Begins answers and never ends them. */
  stallsAnswers = false;
  /** The next load stops with an error. */
  failsNextLoad = false;
  /** Calls that it has begun, and those whose caller left meanwhile. */
  calls = 0;
  abandoned = 0;
  #options: Options;
  #announcer: Announcer | undefined;
  #version = "";
  #digest = "";
  #loading = false;
  #fencingToken = 0;
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
    });
  }

  stop(): void {
    this.#announcer?.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readAll(request)).toString("utf8");
    switch (request.url) {
      case "/v1/state":
        return this.#sendState(response);
      case "/v1/load":
        return this.#takeOrder(JSON.parse(body), response);
      case "/v1/probe":
        response.setHeader(
          "Engine-Version",
          this.#loading ? "" : this.#version,
        );
        return void response.end();
      default:
        return await this.#answer(body, response);
    }
  }

  #sendState(response: ServerResponse): void {
    response.end(JSON.stringify({
      version: this.#version,
      loading: this.#loading && !this.liesAboutLoading,
      fencing_token: this.#fencingToken,
    }));
  }

  #takeOrder(order: LoadOrder, response: ServerResponse): void {
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
    this.#version = this.liesAboutLoading ? order.version : "";
    const hash = createHash("sha256");
    if (this.failsNextLoad) {
      this.failsNextLoad = false;
      this.#loading = false;
      return;
    }
    const whole = await new Promise<boolean>((resolve) => {
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
    this.#digest = hash.digest("hex");
    this.#version = whole ? order.version : "";
    this.#loading = false;
  }

  async #answer(body: string, response: ServerResponse): Promise<void> {
    this.calls += 1;
    response.setHeader("Engine-Version", this.#version);
    response.setHeader("Content-Type", "text/plain");
    const before = this.#digest;
    const lines = expectedAnswer(before, body);
    if (this.stallsAnswers) return void response.write(lines[0]);
    for (const [index, line] of lines.entries()) {
      if (response.destroyed) {
        this.abandoned += 1;
        return;
      }
      // A model that changes under an answer shows in the rest of it.
      const same = this.#digest === before;
      response.write(same ? line : expectedAnswer(this.#digest, body)[index]);
      await pause(this.#options.lineMilliseconds);
    }
    response.end();
  }
}
