import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { createServer } from "node:http";
import { Announcer } from "./announcer.ts";
import { digestOf } from "./digest_of.ts";
import { readAll } from "./read_all.ts";

type Options = {
  address: string;
  agentAddress: string;
  service: string;
  repeatable: boolean;
  slots: number;
  callMilliseconds: number;
};

/** A plain service that keeps a record of every body it ran. */
export class FakeService {
  readonly ran: string[] = [];
  /** Requests a second that it names with its answers; undefined for none. */
  limitPerSecond: number | undefined;
  #options: Options;
  #announcer: Announcer | undefined;
  #server = createServer(async (request, response) => {
    const body = (await readAll(request)).toString("utf8");
    if (request.url === "/record") {
      return void response.end(JSON.stringify(this.ran));
    }
    this.ran.push(body);
    await pause(this.#options.callMilliseconds);
    response.setHeader("Content-Type", "text/plain");
    if (this.limitPerSecond !== undefined) {
      response.setHeader("Teaselrouter-Limit", String(this.limitPerSecond));
    }
    response.end(FakeService.answerTo(body));
  });

  constructor(options: Options) {
    this.#options = options;
  }

  static answerTo(body: string): string {
    return `done ${digestOf([body])}\n`;
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
