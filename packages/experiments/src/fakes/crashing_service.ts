import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { createServer } from "node:http";
import { readAll } from "./read_all.ts";

const RUN_MILLISECONDS = 10;
const DOWN_MILLISECONDS = 150;

/** A plain service that ends under one body, and is back a little later. */
export class EndingService {
  /** Times that it has ended. */
  ends = 0;
  #address: string;
  #endsOn: string;
  #isStopped = false;
  #server = createServer(async (request, response) => {
    const body = (await readAll(request)).toString("utf8");
    await pause(RUN_MILLISECONDS);
    if (body === this.#endsOn) return this.#end();
    response.setHeader("Content-Type", "text/plain");
    response.end("done\n");
  });

  constructor(options: { address: string; endsOn: string }) {
    this.#address = options.address;
    this.#endsOn = options.endsOn;
  }

  async start(): Promise<void> {
    const listening = await listen(this.#server, this.#address);
    if (listening.isErr) throw new Error(listening.error);
  }

  stop(): void {
    this.#isStopped = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #end(): Promise<void> {
    if (!this.#server.listening) return;
    this.ends += 1;
    this.#server.close();
    this.#server.closeAllConnections();
    await pause(DOWN_MILLISECONDS);
    if (!this.#isStopped) await this.start();
  }
}
