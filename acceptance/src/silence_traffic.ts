import { Agent } from "node:http";
import { sendTracedRequest } from "./send_traced_request.ts";
import type { RequestKind, TracedRequest } from "./traced_request.ts";

const STREAMS_PER_SECOND = 32;
const PLAIN_REQUESTS_PER_SECOND = 20;
const SLOW_CLIENTS = 4;
const LASTING_CLIENTS = 10;
const LONG_STREAM_EVENTS = 16;
const LONG_STREAM_SHARE = 0.75;
const MAX_BODY_PAUSE_MILLISECONDS = 1_500;
/** Below the shortest time that a configuration leaves for a head. */
const MAX_HEAD_PAUSE_MILLISECONDS = 700;
const MAX_THINK_MILLISECONDS = 300;

type Options = {
  /** Creates the random numbers of one concurrent task. */
  createRandom: (task: string) => () => number;
  /** IP address of a gateway to which new connections are sent now. */
  pickGateway: (random: () => number) => string;
  frontendUrl: (gateway: string) => string;
  deadlineMilliseconds: number;
  streamsPerSecond?: number;
  plainRequestsPerSecond?: number;
  /** Whether requests that have no body differ in their paths. */
  hasDistinctPaths?: boolean;
};

/**
 * Clients of a day: most open a connection for each request, some send their
 * requests slowly, some keep their connections until the gateway closes them.
 */
export class SilenceTraffic {
  readonly requests: TracedRequest[] = [];
  #options: Options;
  #underWay = new Set<Promise<unknown>>();
  #isOver = false;
  #count = 0;
  /** Multiplies the rate of the requests that come steadily. */
  surge = 1;

  constructor(options: Options) {
    this.#options = options;
  }

  start(): void {
    const {
      streamsPerSecond = STREAMS_PER_SECOND,
      plainRequestsPerSecond = PLAIN_REQUESTS_PER_SECOND,
    } = this.#options;
    this.#follow(this.#sendSteadily("streams", streamsPerSecond, pickStream));
    this.#follow(
      this.#sendSteadily("plain", plainRequestsPerSecond, pickPlain),
    );
    for (let index = 0; index < SLOW_CLIENTS; index += 1) {
      this.#follow(this.#sendSlowly(`slow ${index}`));
    }
    for (let index = 0; index < LASTING_CLIENTS; index += 1) {
      this.#follow(this.#keepConnection(`lasting ${index}`));
    }
  }

  /** Sends no more requests; resolves when all have ended. */
  async stop(): Promise<void> {
    this.#isOver = true;
    while (this.#underWay.size > 0) await Promise.all(this.#underWay);
  }

  #follow(task: Promise<unknown>): void {
    this.#underWay.add(task);
    task.finally(() => this.#underWay.delete(task));
  }

  async #sendSteadily(
    task: string,
    perSecond: number,
    pickRequest: (random: () => number) => PickedRequest,
  ): Promise<void> {
    const random = this.#options.createRandom(task);
    while (!this.#isOver) {
      const gateway = this.#options.pickGateway(random);
      this.#follow(this.#send({ gateway, ...pickRequest(random) }));
      await sleep(2_000 * random() / (perSecond * this.surge));
    }
  }

  async #sendSlowly(task: string): Promise<void> {
    const random = this.#options.createRandom(task);
    while (!this.#isOver) {
      const gateway = this.#options.pickGateway(random);
      const picked = random() < 0.4 ? pickStream(random) : pickPlain(random);
      const pause = picked.kind === "safe"
        ? { headPauseMilliseconds: MAX_HEAD_PAUSE_MILLISECONDS * random() }
        : { bodyPauseMilliseconds: 1 + MAX_BODY_PAUSE_MILLISECONDS * random() };
      await this.#send({ gateway, ...picked, ...pause });
    }
  }

  /** A client that opens a connection only when the gateway has closed one. */
  async #keepConnection(task: string): Promise<void> {
    const random = this.#options.createRandom(task);
    let isOpen = false;
    let gateway = "";
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!this.#isOver) {
      if (!isOpen) gateway = this.#options.pickGateway(random);
      const picked = random() < 0.5 ? pickStream(random) : pickPlain(random);
      await this.#send({ gateway, ...picked, agent });
      await sleep(MAX_THINK_MILLISECONDS * random());
      isOpen = Object.keys(agent.freeSockets).length > 0;
    }
    agent.destroy();
  }

  async #send(
    { gateway, ...rest }: PickedRequest & {
      gateway: string;
      bodyPauseMilliseconds?: number;
      headPauseMilliseconds?: number;
      agent?: Agent;
    },
  ): Promise<void> {
    const { frontendUrl, deadlineMilliseconds, hasDistinctPaths } =
      this.#options;
    this.#count += 1;
    const isAlike = rest.kind !== "safe" || !hasDistinctPaths;
    const request = await sendTracedRequest({
      ...rest,
      id: `s-${this.#count}`,
      gateway,
      path: isAlike ? undefined : `/look/${this.#count}`,
      url: frontendUrl(gateway),
      deadlineMilliseconds,
    });
    this.requests.push(request);
  }
}

type PickedRequest = { kind: RequestKind; events: number };

function pickStream(random: () => number): PickedRequest {
  const isLong = random() < LONG_STREAM_SHARE;
  const events = isLong
    ? LONG_STREAM_EVENTS
    : 1 + Math.floor(random() * (LONG_STREAM_EVENTS - 1));
  return { kind: "stream", events };
}

function pickPlain(random: () => number): PickedRequest {
  return { kind: random() < 0.5 ? "safe" : "unsafe", events: 0 };
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
