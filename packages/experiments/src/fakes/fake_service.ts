import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { createServer } from "node:http";
import { Announcer } from "./announcer.ts";
import { sha256Hex } from "./sha256_hex.ts";
import { frameByConnection } from "./frame_by_connection.ts";
import { readAll } from "./read_all.ts";

type Options = {
  address: string;
  agentAddress: string;
  service: string;
  repeatable: boolean;
  slots: number;
  callMilliseconds: number;
};

/** A fake service without weights that records the body of every call. */
export class FakeService {
  readonly executedBodies: string[] = [];
  readonly refusedBodies: string[] = [];
  /** Requests per second announced with each answer; undefined for no limit. */
  limitPerSecond: number | undefined;
  /** Value of Retry-After with which calls are refused; undefined for none. */
  retryAfter: string | undefined;
  /** How much longer the calls take that arrive now. */
  stallMilliseconds = 0;
  /** Whether answers end with their connection. */
  framesByConnection = false;
  /** Whether answers are reset behind their first half. */
  resetsAnswers = false;
  /** Whether answers say that the service is shutting down. */
  isShuttingDown = false;
  #options: Options;
  #announcer: Announcer | undefined;
  #server = createServer(async (request, response) => {
    const body = (await readAll(request)).toString("utf8");
    if (request.url === "/record") {
      return void response.end(JSON.stringify(this.executedBodies));
    }
    if (this.isShuttingDown) response.setHeader("Teaselrouter-Shutdown", "1");
    if (this.retryAfter !== undefined) {
      this.refusedBodies.push(body);
      response.writeHead(503, { "Retry-After": this.retryAfter });
      return void response.end();
    }
    this.executedBodies.push(body);
    await sleep(this.#options.callMilliseconds + this.stallMilliseconds);
    response.setHeader("Content-Type", "text/plain");
    if (this.limitPerSecond !== undefined) {
      response.setHeader("Teaselrouter-Limit", String(this.limitPerSecond));
    }
    if (this.framesByConnection) frameByConnection(response);
    const answer = FakeService.computeAnswer(body);
    if (!this.resetsAnswers) return void response.end(answer);
    response.write(answer.slice(0, answer.length / 2), () => {
      response.socket?.resetAndDestroy();
    });
  });

  constructor(options: Options) {
    this.#options = options;
  }

  static computeAnswer(body: string): string {
    return `done ${sha256Hex([body])}\n`;
  }

  async start(): Promise<void> {
    const listening = await listen(this.#server, this.#options.address);
    if (listening.isErr) throw new Error(listening.error);
    this.#announcer = new Announcer(this.#options.agentAddress, {
      service: this.#options.service,
      address: this.#options.address,
      checks_fencing: false,
      repeatable: this.#options.repeatable,
      uses_weights: false,
      slots: this.#options.slots,
    });
  }

  stop(): void {
    this.#announcer?.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
