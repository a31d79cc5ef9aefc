import { performance } from "node:perf_hooks";
import { FakeBackendServer } from "../fake_backend_server.ts";
import type { FakeWeightStore } from "../fake_weight_store.ts";
import { callControlHost } from "./call_control_host.ts";

const HEARTBEAT_MILLISECONDS = 1_200;
const CALL_PAUSE_MILLISECONDS = 50;
/** A server without an acknowledgement ends all the same after some seconds. */
const GIVE_UP_MILLISECONDS = 8_000;
const DRAIN_MILLISECONDS = 2_000;
const SERVICE = "plain";

type Options = {
  controlUrls: string[];
  store: FakeWeightStore;
  random: () => number;
};

type Member = {
  /** Unique, also where another start has the same instance id. */
  name: string;
  server: FakeBackendServer;
  state: "ready" | "draining" | "gone";
  /** Index of the control host that it calls. */
  host: number;
};

type Leaving = {
  /** Says `draining` before it is gone. */
  drains: boolean;
  /** Serves for so long after the bound. */
  lingerMilliseconds: number;
  /** Control host that it calls first. */
  host: number;
  /** Called at once with the index of the host that acknowledged. */
  onAcknowledged: (host: number) => void;
};

/** The plain backend servers of a day, which come and leave as the platform's do. */
export class LeavingFleet {
  readonly members: Member[] = [];
  /** First acknowledgement of each start that left. */
  readonly acknowledgements: { server: string; at: number }[] = [];
  /** From the first call to the acknowledgement, milliseconds. */
  readonly acknowledgementTimes: number[] = [];
  unacknowledged = 0;
  #options: Options;
  #timer: NodeJS.Timeout | undefined;
  #started = 0;

  constructor(options: Options) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => {
      for (const member of this.members) this.#sendHeartbeat(member);
    }, HEARTBEAT_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const { server } of this.members) server.close();
  }

  get ready(): Member[] {
    return this.members.filter(({ state }) => state === "ready");
  }

  /** Starts a server, if `instance` is given under an id that was used. */
  async add(instance?: string): Promise<void> {
    this.#started += 1;
    const { controlUrls, store, random } = this.#options;
    const name = `start-${this.#started}`;
    const server = new FakeBackendServer({
      instance: instance ?? name,
      store,
      model: "",
      bornAt: Date.now(),
    });
    await server.listen("127.0.0.1");
    const host = Math.floor(random() * controlUrls.length);
    const member: Member = { name, server, state: "ready", host };
    this.members.push(member);
    await this.#sendHeartbeat(member);
  }

  /** A server leaves, and ends some time after its acknowledgement. */
  async leave(member: Member, leaving: Leaving): Promise<void> {
    const { server, name } = member;
    member.host = leaving.host;
    const delayed = server.heartbeat(SERVICE, "ready");
    let isAcknowledged = false;
    const acknowledge = (host: number) => {
      if (isAcknowledged) return;
      isAcknowledged = true;
      this.acknowledgements.push({ server: name, at: performance.now() });
      leaving.onAcknowledged(host);
    };
    if (leaving.drains) {
      member.state = "draining";
      await this.#call(
        member,
        "PUT",
        () => server.heartbeat(SERVICE, "draining"),
        acknowledge,
      );
      await sleep(DRAIN_MILLISECONDS / 2);
    }
    member.state = "gone";
    await this.#call(member, "DELETE", () => undefined, acknowledge);
    this.#sendDelayed(member, delayed);
    if (!isAcknowledged) this.unacknowledged += 1;
    await sleep(DRAIN_MILLISECONDS + leaving.lingerMilliseconds);
    server.close();
  }

  /** Calls one host after the other until one acknowledges. */
  async #call(
    member: Member,
    method: string,
    createBody: () => unknown,
    acknowledge: (host: number) => void,
  ): Promise<void> {
    const startedAt = performance.now();
    while (performance.now() - startedAt < GIVE_UP_MILLISECONDS) {
      const { host } = member;
      const status = await callControlHost(
        this.#urlOf(member),
        method,
        createBody(),
        (status) => {
          if (status === 200) acknowledge(host);
        },
      );
      if (status === 200) {
        this.acknowledgementTimes.push(performance.now() - startedAt);
        return;
      }
      this.#turnToNextHost(member);
      await sleep(CALL_PAUSE_MILLISECONDS);
    }
  }

  /** A heartbeat from before the leaving arrives after it, at some host. */
  async #sendDelayed(member: Member, heartbeat: unknown): Promise<void> {
    const { controlUrls, random } = this.#options;
    await sleep(random() * 2 * DRAIN_MILLISECONDS);
    for (const base of controlUrls) {
      if (random() < 0.5) continue;
      await callControlHost(
        `${base}/instances/${member.server.instance}`,
        "PUT",
        heartbeat,
      );
    }
  }

  async #sendHeartbeat(member: Member): Promise<void> {
    const { state, server } = member;
    if (state === "gone") return;
    const body = server.heartbeat(SERVICE, state);
    for (let call = 0; call < this.#options.controlUrls.length; call += 1) {
      const status = await callControlHost(this.#urlOf(member), "PUT", body);
      if (status === 200) return;
      this.#turnToNextHost(member);
    }
  }

  #urlOf({ host, server }: Member): string {
    return `${this.#options.controlUrls[host]!}/instances/${server.instance}`;
  }

  #turnToNextHost(member: Member): void {
    member.host = (member.host + 1) % this.#options.controlUrls.length;
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
