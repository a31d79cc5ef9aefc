import { spawn } from "node:child_process";
import { performance } from "node:perf_hooks";
import process from "node:process";
import type { FakeBackendServer } from "../fake_backend_server.ts";

const MAX_GAP_MILLISECONDS = 1_500;
const MIN_SPELL_MILLISECONDS = 1_000;
const MAX_SPELL_MILLISECONDS = 6_000;
const MAX_MUTE_MILLISECONDS = 2_500;
const MAX_LATE_MILLISECONDS = 700;
const MAX_RESET_GAP_MILLISECONDS = 2_000;
const BUSY_PROCESS_COUNT = 4;
const SURGE_FACTOR = 3;
const FAILURE_STATUS = 500;
const PAUSE_SECONDS = "0.8";

type Options = {
  engines: readonly FakeBackendServer[];
  plainServers: readonly FakeBackendServer[];
  /**
   * Whether servers also reset all connections, go on, and end soon for another
   * reason.
   */
  resetsBeforeEnds: boolean;
  random: () => number;
  /** Multiplies the rate of requests. */
  setSurge: (surge: number) => void;
};

/** Begins a trouble of one server; the returned function ends it. */
type Begin = (server: FakeBackendServer) => () => void;

/**
 * Lets backend servers fail, refuse, pause, go mute, answer late or end, one or
 * several or all of a service, in series and at the same time; and keeps the
 * machine's processors busy or has more requests come.
 */
export class ServerTroubles {
  readonly names: string[] = [];
  #options: Options;
  #begins: [string, Begin][] = [
    ["failing", beginFailing],
    ["failing", beginFailing],
    ["full", beginFull],
    ["pausing", beginPausing],
    ["mute", (server) => this.#beginMute(server)],
    ["late", (server) => this.#beginLate(server)],
    ["ending", beginEnding],
  ];

  constructor(options: Options) {
    this.#options = options;
    if (!options.resetsBeforeEnds) return;
    this.#begins.push(["resetting", (server) => this.#beginResetting(server)]);
  }

  async run(milliseconds: number): Promise<void> {
    const { random } = this.#options;
    const endAt = performance.now() + milliseconds;
    const underWay: Promise<void>[] = [];
    while (performance.now() < endAt) {
      underWay.push(this.#begin());
      await sleep(MAX_GAP_MILLISECONDS * random());
    }
    await Promise.all(underWay);
  }

  #begin(): Promise<void> {
    const { random } = this.#options;
    const duration = MIN_SPELL_MILLISECONDS +
      (MAX_SPELL_MILLISECONDS - MIN_SPELL_MILLISECONDS) * random();
    const draw = random();
    if (draw < 0.1) return this.#keepBusy(duration);
    if (draw < 0.2) return this.#surge(duration);
    return this.#troubleServers(duration);
  }

  async #troubleServers(milliseconds: number): Promise<void> {
    const { engines, plainServers, random } = this.#options;
    const isPlain = random() < 0.6;
    const all = isPlain ? plainServers : engines;
    const counts = [1, Math.ceil(all.length / 2), all.length];
    const count = counts[Math.floor(random() * counts.length)]!;
    const [name, begin] = this.#begins[
      Math.floor(random() * this.#begins.length)
    ]!;
    this.names.push(`${count} ${isPlain ? "plain" : "engines"} ${name}`);
    const first = Math.floor(random() * all.length);
    const ends = Array.from({ length: count }, (_, index) => {
      return begin(all[(first + index) % all.length]!);
    });
    await sleep(milliseconds);
    for (const end of ends) end();
  }

  #beginMute(server: FakeBackendServer): () => void {
    server.fallSilent(MAX_MUTE_MILLISECONDS * this.#options.random());
    return () => {};
  }

  #beginResetting(server: FakeBackendServer): () => void {
    server.resetConnections();
    const wait = MAX_RESET_GAP_MILLISECONDS * this.#options.random();
    const timer = setTimeout(() => server.crash(), wait);
    return () => clearTimeout(timer);
  }

  /** Answers come late again and again, each shorter than a silence. */
  #beginLate(server: FakeBackendServer): () => void {
    const timer = setInterval(
      () => server.fallSilent(MAX_LATE_MILLISECONDS * this.#options.random()),
      MAX_LATE_MILLISECONDS,
    );
    return () => clearInterval(timer);
  }

  async #keepBusy(milliseconds: number): Promise<void> {
    this.names.push("processors busy");
    const busy = Array.from(
      { length: BUSY_PROCESS_COUNT },
      () => spawn(process.execPath, ["-e", "for (;;);"], { stdio: "ignore" }),
    );
    await sleep(milliseconds);
    for (const child of busy) child.kill("SIGKILL");
  }

  async #surge(milliseconds: number): Promise<void> {
    this.names.push("surge");
    this.#options.setSurge(SURGE_FACTOR);
    await sleep(milliseconds);
    this.#options.setSurge(1);
  }
}

function beginFailing(server: FakeBackendServer): () => void {
  server.failureStatus = FAILURE_STATUS;
  return () => server.failureStatus = undefined;
}

function beginEnding(server: FakeBackendServer): () => void {
  void server.crash();
  return () => {};
}

function beginFull(server: FakeBackendServer): () => void {
  server.isFull = true;
  return () => server.isFull = false;
}

function beginPausing(server: FakeBackendServer): () => void {
  server.retryAfter = PAUSE_SECONDS;
  return () => server.retryAfter = undefined;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
