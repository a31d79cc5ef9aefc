import { Agent, request } from "node:http";
import { performance } from "node:perf_hooks";

const INTERVAL_MILLISECONDS = 50;
const DEADLINE_MILLISECONDS = 4_000;

type Options = {
  gateways: { name: string; url: string }[];
  clientsPerGateway: number;
};

/**
 * Clients that each send one request after the other on a connection that they
 * keep as long as the gateway does.
 */
export class SteadyClients {
  /** Status of each answer, 0 if there was none, with its time. */
  readonly answers: { at: number; status: number }[] = [];
  #options: Options;
  #gatewayOf = new Map<string, string>();
  #isStopped = false;
  #running: Promise<void>[] = [];

  constructor(options: Options) {
    this.#options = options;
  }

  /** Gateway to which a request was sent. */
  gatewayOf(id: string): string {
    return this.#gatewayOf.get(id) ?? "";
  }

  start(): void {
    const { gateways, clientsPerGateway } = this.#options;
    for (const gateway of gateways) {
      for (let client = 0; client < clientsPerGateway; client += 1) {
        this.#running.push(this.#run(gateway, client));
      }
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#running);
  }

  async #run(
    { name, url }: { name: string; url: string },
    client: number,
  ): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; !this.#isStopped; count += 1) {
      const id = `${name}-${client}-${count}`;
      this.#gatewayOf.set(id, name);
      const status = await send(`${url}/pay/x`, id, agent);
      this.answers.push({ at: performance.now(), status });
      await sleep(INTERVAL_MILLISECONDS * (0.5 + (client % 4) / 4));
    }
    agent.destroy();
  }
}

function send(url: string, id: string, agent: Agent): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = request(url, {
      method: "POST",
      agent,
      headers: {
        Host: "desk.example",
        "Attempt-Id": id,
        "Deadline-Ms": String(DEADLINE_MILLISECONDS),
        Authorization: "Bearer key-1",
      },
      signal: AbortSignal.timeout(2 * DEADLINE_MILLISECONDS),
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode ?? 0));
      response.on("error", () => resolve(0));
    });
    outgoing.on("error", () => resolve(0));
    outgoing.end("one seat");
  });
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
