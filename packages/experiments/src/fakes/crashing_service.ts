import { listen } from "@teaselrouter/daemon/transport/listen.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { createServer } from "node:http";
import { readAll } from "./read_all.ts";

const CALL_DURATION_MILLISECONDS = 10;
const RESTART_DELAY_MILLISECONDS = 150;

/**
 * A service without weights that simulates a crash on one request body: it
 * closes its port and all connections, and listens again 150 ms later.
 */
export class CrashingService {
  /** Number of simulated crashes so far. */
  crashCount = 0;
  #address: string;
  #crashBody: string;
  #isStopped = false;
  #server = createServer(async (request, response) => {
    const body = (await readAll(request)).toString("utf8");
    await sleep(CALL_DURATION_MILLISECONDS);
    if (body === this.#crashBody) return this.#crash();
    response.setHeader("Content-Type", "text/plain");
    response.end("done\n");
  });

  constructor(options: { address: string; crashBody: string }) {
    this.#address = options.address;
    this.#crashBody = options.crashBody;
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

  async #crash(): Promise<void> {
    if (!this.#server.listening) return;
    this.crashCount += 1;
    this.#server.close();
    this.#server.closeAllConnections();
    await sleep(RESTART_DELAY_MILLISECONDS);
    if (!this.#isStopped) await this.start();
  }
}
